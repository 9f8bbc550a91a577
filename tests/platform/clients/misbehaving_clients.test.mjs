// Clients that do not keep to HTTP or to the limits: whatever a crowd of them sends, the node lives, its memory and
// open descriptors stay under a bound, and ordinary requests are answered. One kind of client a test.
//
// Apart from other load, one at a time: node --test --test-concurrency=1 tests/platform/clients/

import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';

import { SOURCE } from '../../system/cluster.mjs';
import {
  CHUNKED_HEAD, MAX_BODY_BYTES, MAX_HEADER_BYTES, NodeUnderTest, PORTS, REQUEST_LINE, repeated, sendAllThenRead,
} from './crowd.mjs';

const MEGABYTE = 1024 * 1024;

/** What each kind of client sends. */
const trailersWithoutEnd = () => repeated(`${CHUNKED_HEAD}1\r\nx\r\n0\r\n`, 'Trailer-Field: value\r\n', 6 * MEGABYTE);
const sizeLineWithoutEnd = () => repeated(`${CHUNKED_HEAD}1;`, 'e', 6 * MEGABYTE);
const lastSizeLineWithoutEnd = () => repeated(`${CHUNKED_HEAD}1\r\nx\r\n0;`, 'e', 6 * MEGABYTE);
const lengthNotReached = () => repeated(
  `${REQUEST_LINE}Attempt-Id: crowd\r\nContent-Length: ${MAX_BODY_BYTES}\r\n\r\n`, 'x', 65000);
const largeChunksWithoutEnd = () => repeated(CHUNKED_HEAD, `1ff0\r\n${'x'.repeat(0x1ff0)}\r\n`, 8 * (0x1ff0 + 8));
const singleBytesWithoutEnd = () => repeated(CHUNKED_HEAD, '1\r\nx\r\n', 6 * 65000);
const fieldsWithoutEnd = () => repeated(REQUEST_LINE, 'a:\r\n', MAX_HEADER_BYTES - REQUEST_LINE.length - 64);
const announcedOverLimit = () => repeated(
  `${REQUEST_LINE}Attempt-Id: crowd\r\nContent-Length: ${30 * MEGABYTE}\r\n\r\n`, 'x', 30 * MEGABYTE);
const sentOverLimit = () => repeated(CHUNKED_HEAD, `4000\r\n${'x'.repeat(0x4000)}\r\n`, 30 * MEGABYTE);
/** To a port that expects no body. */
const bodyOfQuery = () => repeated(
  `GET / HTTP/1.1\r\nHost: soak.example\r\nContent-Length: ${4 * MEGABYTE}\r\n\r\n`, 'x', 4 * MEGABYTE - 1);
const nothing = () => [][Symbol.iterator]();
/** Many requests on one connection whose answers nobody reads. */
const unreadAnswers = () => repeated('', 'GET /quick/1 HTTP/1.1\r\nHost: soak.example\r\nApi-Key: key-of-plain\r\n\r\n', MEGABYTE);

const knownRedFile = path.join(SOURCE, 'KNOWN-RED.txt');
const knownRed = existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8').split('\n') : [];

/** One test: a fresh node, what the crowd does, and what must hold then. Known failures run and are printed. */
function crowdTest(name, act, options) {
  const todo = knownRed.some((line) => line.startsWith(`clients/${name}: `));
  test(name, { todo }, async () => {
    const node = await NodeUnderTest.start(options);
    try {
      await act(node);
      await node.survives();
    } finally {
      await node.end();
    }
  });
}

crowdTest('trailers without end', (node) => node.crowd(12, trailersWithoutEnd));
crowdTest('the size line of a chunk without end', (node) => node.crowd(12, sizeLineWithoutEnd));
crowdTest('the size line of the last chunk without end', (node) => node.crowd(12, lastSizeLineWithoutEnd));
crowdTest('bodies that stop short of their length', (node) => node.crowd(700, lengthNotReached));
crowdTest('bodies in large chunks that stop short', (node) => node.crowd(700, largeChunksWithoutEnd));
crowdTest('bodies in chunks of one byte that stop short', (node) => node.crowd(600, singleBytesWithoutEnd));
crowdTest('heads of many short fields that stop short', (node) => node.crowd(500, fieldsWithoutEnd));
crowdTest('bodies over the limit, announced and sent', async (node) => {
  await node.crowd(12, announcedOverLimit);
  await node.crowd(12, sentOverLimit);
  const tooLong = 'x'.repeat(48 * MAX_BODY_BYTES);
  const announced = `${REQUEST_LINE}Attempt-Id: long\r\nContent-Length: ${tooLong.length}\r\n\r\n${tooLong}`;
  assert.equal(await sendAllThenRead(announced), 413, 'a client that announces too much reads its answer');
  const sent = `${CHUNKED_HEAD}${tooLong.length.toString(16)}\r\n${tooLong}\r\n0\r\n\r\n`;
  assert.equal(await sendAllThenRead(sent), 413, 'a client that sends too much reads its answer');
});
for (const port of ['readiness', 'resolver', 'control', 'metrics']) {
  crowdTest(`bodies that stop short, at the ${port} port`, (node) => node.crowd(24, bodyOfQuery, PORTS[port]));
}
crowdTest('answers that are not read', (node) => node.crowd(100, unreadAnswers));
crowdTest('more connections than descriptors', (node) => node.crowd(300, nothing), { descriptors: 200 });
crowdTest('more connections than descriptors, at the metrics port',
  (node) => node.crowd(300, nothing, PORTS.metrics), { descriptors: 200 });
crowdTest('a mixture of all', async (node) => {
  const kinds = [
    trailersWithoutEnd, sizeLineWithoutEnd, lastSizeLineWithoutEnd, lengthNotReached, largeChunksWithoutEnd,
    singleBytesWithoutEnd, fieldsWithoutEnd, announcedOverLimit, sentOverLimit, unreadAnswers, nothing,
  ];
  await Promise.all([
    node.crowd(20 * kinds.length, (index) => kinds[index % kinds.length]()),
    ...['readiness', 'resolver', 'control', 'metrics'].map((port) => node.crowd(10, bodyOfQuery, PORTS[port])),
  ]);
});
