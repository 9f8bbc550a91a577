// Crowds of misbehaving clients against one real node, and what the node may use meanwhile.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { BINARIES, ManagedProcess, eventually } from '../../system/cluster.mjs';

const BASE_PORT = 28100;
const STORE_PORT = BASE_PORT + 1;
const CONTROL_PORT = BASE_PORT + 2;
const REPLICA_PORT = BASE_PORT + 10;
export const NODE_IP = '127.0.0.11';
/** The ports of the node that clients can reach. */
export const PORTS = {
  frontend: BASE_PORT + 50, readiness: BASE_PORT + 51, resolver: BASE_PORT + 52, control: BASE_PORT + 53,
  metrics: BASE_PORT + 55,
};
const DATAGRAM_PORT = BASE_PORT + 54;

/** Limits of the node in these tests, far below the defaults, so that small crowds meet them. */
const CLIENT_LIMITS = { buffer_bytes: 8 * 1024 * 1024 };
/** Peak of resident memory that the node may reach: what it needs when quiet, the buffers above, and slack. */
export const MAX_RESIDENT_BYTES = 48 * 1024 * 1024;
/** Descriptors of the process unless a test states another number. */
export const DESCRIPTORS = 1024;
/** Descriptors that clients must leave for replicas, the store, peers and files. */
export const MIN_FREE_DESCRIPTORS = 20;

/** How often open descriptors are counted. */
const SAMPLING_MS = 10;

/** Limits of the stand-in's configuration. */
export const MAX_HEADER_BYTES = 16384;
export const MAX_BODY_BYTES = 65536;

export const REQUEST_LINE = 'POST /quick/1 HTTP/1.1\r\nHost: soak.example\r\nApi-Key: key-of-plain\r\n';
export const CHUNKED_HEAD = `${REQUEST_LINE}Attempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** One client that sends without reading: `parts` yields what it sends, and it then stays connected. */
class Client {
  constructor(port, parts) {
    this.socket = net.connect({ host: NODE_IP, port });
    this.socket.pause();
    /** Resolved once everything is sent, or the node has closed the connection. */
    this.sent = new Promise((resolve) => {
      this.socket.on('error', resolve);
      this.socket.on('close', resolve);
      this.socket.on('connect', () => this.send(parts, resolve));
    });
  }

  send(parts, done) {
    const next = parts.next();
    if (next.done) done();
    else this.socket.write(next.value, () => this.send(parts, done));
  }
}

/** Repeats one block of bytes until `total` bytes are yielded after the first part. */
export function* repeated(first, block, total) {
  yield first;
  const blocks = Math.max(1, Math.floor(65536 / block.length));
  const large = Buffer.from(block.repeat(blocks));
  for (let left = total; left > 0; left -= large.length) {
    yield left < large.length ? large.subarray(0, left) : large;
  }
}

/** One node before one replica and a store, on loopback. */
export class NodeUnderTest {
  /** @param descriptors limit on the descriptors of the node's process */
  static async start({ descriptors = DESCRIPTORS, limits = CLIENT_LIMITS, replicas = 1 } = {}) {
    const node = new NodeUnderTest();
    node.descriptors = descriptors;
    const folder = mkdtempSync(path.join(tmpdir(), 'dockpoint-clients-'));
    const platform = [STORE_PORT, CONTROL_PORT, replicas, REPLICA_PORT, REPLICA_PORT].map(String);
    node.platform = new ManagedProcess('platform', 'dockpoint-platform-stand-in', platform, folder);
    const settings = path.join(folder, 'node.json');
    writeFileSync(settings, JSON.stringify(settingsOf(limits)));
    if (spawnSync(path.join(BINARIES, 'dockpoint-platform'), ['--settings', settings, '--check']).status !== 0) {
      // An older version without these limits: the same crowd shows what it does without them.
      writeFileSync(settings, JSON.stringify(settingsOf(undefined)));
    }
    node.process = new ManagedProcess('node', 'dockpoint-platform', ['--settings', settings], folder, { descriptors });
    node.clients = [];
    node.peakDescriptors = 0;
    node.sampling = setInterval(() => node.sampleDescriptors(), SAMPLING_MS);
    await node.serves('the first ordinary request');
    return node;
  }

  /** Connects `count` clients that send what `parts(index)` yields, and waits until all have sent or are closed. */
  async crowd(count, parts, port = PORTS.frontend) {
    const joined = Array.from({ length: count }, (_, index) => new Client(port, parts(index)));
    this.clients.push(...joined);
    await Promise.all(joined.map((client) => client.sent));
  }

  /** What must hold while the crowd is connected and after it has gone. */
  async survives() {
    await this.serves('an ordinary request beside the crowd');
    this.staysWithinBounds();
    for (const client of this.clients) client.socket.destroy();
    await this.serves('an ordinary request after the crowd');
    await this.serves('the largest request within the limits', sendLargestRequest);
    this.staysWithinBounds();
  }

  /** Asks the stand-in's control address. @return what the replicas have run */
  async platformCall(target) {
    const response = await fetch(`http://127.0.0.1:${CONTROL_PORT}${target}`);
    return response.json();
  }

  staysWithinBounds() {
    assert.equal(this.process.child.exitCode ?? this.process.child.signalCode, null, 'the node has ended');
    const resident = this.peakResidentBytes();
    const descriptors = this.peakDescriptors;
    console.log(`peakResidentBytes=${resident} peakDescriptors=${descriptors}`);
    assert.ok(resident <= MAX_RESIDENT_BYTES, `peak of resident memory: ${resident} of ${MAX_RESIDENT_BYTES} bytes`);
    const allowed = this.descriptors - MIN_FREE_DESCRIPTORS;
    assert.ok(descriptors <= allowed, `peak of open descriptors: ${descriptors} of ${allowed}`);
  }

  /** Sends a request, again if it is refused, until it is served. */
  async serves(what, send = sendOrdinaryRequest) {
    await eventually(what, async () => (await send()) === 200);
  }

  peakResidentBytes() {
    const status = readFileSync(`/proc/${this.process.child.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)[1]) * 1024;
  }

  sampleDescriptors() {
    if (this.process.child.exitCode !== null) return;
    const open = readdirSync(`/proc/${this.process.child.pid}/fd`).length;
    this.peakDescriptors = Math.max(this.peakDescriptors, open);
  }

  async end() {
    clearInterval(this.sampling);
    for (const client of this.clients) client.socket.destroy();
    await this.process.end('SIGKILL');
    await this.platform.end('SIGKILL');
  }
}

function settingsOf(limits) {
  const listen = Object.entries({ ...PORTS, datagrams: DATAGRAM_PORT }).map(([use, port]) => [use, `${NODE_IP}:${port}`]);
  return {
    node: 'node-1', zone: 'zone-a', region: 'region-a', seeds: [`${NODE_IP}:${PORTS.control}`],
    listen: Object.fromEntries(listen),
    log: { address: `127.0.0.1:${STORE_PORT}`, partitions: 4, record_bytes: 262144, call_bytes: 2097152, minimum_lease_ms: 1000 },
    times: { address_lifetime_s: 5, grace_s: 4 },
    ...(limits ? { clients: limits } : {}),
  };
}

let requestNumber = 0;

/** @return the status of the answer, or 0 without a whole one. */
function send(headers, write) {
  return new Promise((resolve) => {
    const id = `ordinary-${++requestNumber}`;
    const request = http.request({
      host: NODE_IP, port: PORTS.frontend, method: 'POST', path: `/quick/${id}`, agent: false, timeout: 4000,
      headers: { Host: 'soak.example', 'Api-Key': 'key-of-plain', 'Attempt-Id': id, ...headers },
    }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
      response.on('close', () => resolve(0));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    write(request);
  });
}

function sendOrdinaryRequest() {
  return send({ 'Content-Length': 2 }, (request) => request.end('hi'));
}

/** A body of the greatest size in chunks of one byte, with a short trailer. */
function sendLargestRequest() {
  const head = `${REQUEST_LINE}Attempt-Id: largest-${++requestNumber}\r\nTransfer-Encoding: chunked\r\n\r\n`;
  return sendAllThenRead(`${head}${'1\r\nx\r\n'.repeat(MAX_BODY_BYTES)}0\r\nChecksum: none\r\n\r\n`);
}

/** Sends all of a request before it reads. @return the status of the answer, or 0 if there is none. */
export function sendAllThenRead(bytes) {
  return new Promise((resolve) => {
    const socket = net.connect({ host: NODE_IP, port: PORTS.frontend, timeout: 4000 });
    socket.pause();
    socket.write(bytes, () => socket.resume());
    socket.once('data', (answer) => {
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(answer.toString())?.[1]));
      socket.destroy();
    });
    socket.on('timeout', () => socket.destroy());
    socket.on('error', () => resolve(0));
    socket.on('close', () => resolve(0));
  });
}
