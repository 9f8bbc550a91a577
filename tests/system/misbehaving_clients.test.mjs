// Clients of dockpointd that stop short or over-send: the daemon lives, its memory stays under a bound, its health
// checks are answered, and so are ordinary requests.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';

import { BINARIES, Cluster, eventually, freePort, smallDeployment } from './cluster.mjs';

const MEGABYTE = 1024 * 1024;
const BODY_BYTES = 4 * MEGABYTE;
/** Threads of the daemon in this test; each serves one connection. */
const THREADS = 64;
/** Peak of resident memory: the daemon when quiet, its threads, the bodies below, and slack. */
const MAX_RESIDENT_BYTES = 128 * MEGABYTE;
/** Far below the defaults, so that a small crowd meets them. */
const LIMITS = { '--threads-http': THREADS, '--bodies-bytes': 16 * MEGABYTE };

let cluster;
let node;
let health;

beforeEach(async () => {
  cluster = new Cluster();
  const options = { ...LIMITS, '--listen-health': `127.0.0.1:${await freePort()}` };
  // An older version does not know all of them: the same crowd shows what it does without them.
  const help = spawnSync(path.join(BINARIES, 'dockpointd'), ['--help'], { encoding: 'utf8' }).stdout;
  const known = Object.entries(options).filter(([name]) => help.includes(name));
  await cluster.start(smallDeployment(1), { nodes: 1, nodeArgs: known.flat().map(String) });
  node = cluster.nodes.get('node-1');
  health = help.includes('--listen-health') ? options['--listen-health'] : node.api;
});

afterEach(() => cluster.stop());

/** Connects clients that send `bytes` and stay. Resolves once each has sent all or is closed. */
async function crowd(count, bytes) {
  const [host, port] = node.api.split(':');
  const clients = Array.from({ length: count }, () => net.connect({ host, port: Number(port) }));
  await Promise.all(clients.map((socket) => new Promise((resolve) => {
    socket.on('error', resolve);
    socket.on('close', resolve);
    socket.write(bytes, resolve);
  })));
  return clients;
}

/** A health check on a connection of its own. */
function isLive() {
  return new Promise((resolve) => {
    const request = http.get(`http://${health}/livez`, { agent: false, timeout: 2000 }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

async function staysWithinBounds() {
  const { pid, exitCode, signalCode } = node.process.child;
  assert.equal(exitCode ?? signalCode, null, 'the daemon has ended');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = Number(/VmHWM:\s+(\d+) kB/.exec(status)[1]) * 1024;
  console.log(`peakResidentBytes=${resident}`);
  assert.ok(resident <= MAX_RESIDENT_BYTES, `peak of resident memory: ${resident} of ${MAX_RESIDENT_BYTES} bytes`);
}

async function servesAnOrdinaryRequest() {
  await eventually('an ordinary request', async () => {
    const response = await fetch(`http://${node.api}/v1/chat/completions`, {
      method: 'POST', body: JSON.stringify({ model: 'lm', max_tokens: 4, messages: [{ role: 'user', content: 'hi' }] }),
    });
    return response.ok;
  });
}

test('bodies that stop short', async () => {
  const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  const clients = await crowd(THREADS - 8, head + 'x'.repeat(BODY_BYTES - 1));
  await eventually('a health check beside the crowd', isLive);
  for (const socket of clients) socket.destroy();
  await servesAnOrdinaryRequest();
  await staysWithinBounds();
});

test('more silent connections than threads', async () => {
  const clients = await crowd(2 * THREADS, 'POST /v1/chat/completions HTTP/1.1\r\n');
  await eventually('a health check beside the crowd', isLive);
  for (const socket of clients) socket.destroy();
  await servesAnOrdinaryRequest();
  await staysWithinBounds();
});
