// A randomized soak: real dockpoint-platform processes on loopback, faults from outside them (signals,
// a store that fails, proxies that delay, reset, silence or cut one way the connections to the store and
// to replicas), and checks of the promises from what callers and replicas see. Faults come alone, together
// and in series that overlap; half of the callers keep their connections until the node is gone. Between
// them, when all has been calm for a while, the configuration changes and a replica drains: within the bound
// each node serves the new route, and nothing reaches the replica any more. Versions never go back.
//
// Every request comes with the key of a tenant. `hot` sends many times its rate limit, and `steady` a part of
// its own: no window admits more of `hot` than its limit allows, and in calm times `steady` is not refused.
// Changes of the configuration change both limits and which of the two is the more urgent.
//
//     node tests/platform/soak/soak.mjs [--seed N] [--seconds N] [--nodes N] [--replicas N] [--service-ms N]
//         [--instance N] [--replacement-pause FACTOR] [--out-of-step]
//
// Some requests crash the replica that runs them and come again, under other ids, at any node; replicas crash
// for other reasons too. Once a request has crashed three replicas, few further attempts of it reach one.
//
// A part of prompts crashes replicas too, in requests of which no two are alike; sound requests share the first
// part with them, and are served.
//
// Replicas are replaced by others of another software version, in whose output the version stands. Callers whose
// stream breaks resume it at any node: the text that they have in the end is of one version and lacks no event.
// Other streams may not be resumed: they end as complete after their last event only. A replica that ends closes or
// resets its connections, and another one has its address after a short or a longer time.
//
// Several readers read each job at any node. What one of them has read a while ago, all of them find.
//
// With `--out-of-step` the one trouble is that a node stands still, hears no datagram and is cut off from the log while
// a second software version joins. Streams that begin there meanwhile break, since all other nodes are killed; their
// callers come back to that node, most of them while it stands still.
//
// In fleets of more than 20 nodes the slots of replicas are dealt among them: `--nodes 24 --replicas 8
// --service-ms 100`, by hand. Then the nodes' own slots must not add up to more than there are in calm times.
//
// Instances 0 to 30 take ports of their own and may run side by side. Prints the seed, every fault, and every broken promise; ends with 1 if there was one. The logs of the
// nodes stay in the folder that it names. It ends only processes that it has started.

import { mkdtempSync, writeFileSync } from 'node:fs';
import dgram from 'node:dgram';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parseArgs } from 'node:util';

import { ManagedProcess, eventually, sleep } from '../../system/cluster.mjs';
import { generator } from '../random_numbers.mjs';
import { FaultyProxy, MODES } from './faulty_proxy.mjs';
import { FaultSpans, LimitHistory, refusalsInCalm, windowsOverLimit } from './tenant_checks.mjs';

const { values: options } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1e9) },
    seconds: { type: 'string', default: '60' },
    nodes: { type: 'string', default: '4' },
    replicas: { type: 'string', default: '4' },
    'service-ms': { type: 'string', default: '0' },
    instance: { type: 'string', default: '0' },
    /** Multiplies the time between two replacements of replicas. */
    'replacement-pause': { type: 'string', default: '1' },
    'out-of-step': { type: 'boolean', default: false },
  },
});
const seconds = Number(options.seconds);

const BASE_PORT = 28600 + 100 * Number(options.instance);
const STORE_PORT = BASE_PORT + 1;
const CONTROL_PORT = BASE_PORT + 2;
const FIRST_REPLICA_PORT = BASE_PORT + 10;
/** Proxies before the replicas: what nodes are told. */
const FIRST_REPLICA_PROXY_PORT = BASE_PORT + 20;
/** Proxies before the store, one at the address of each machine. */
const STORE_PROXY_PORT = BASE_PORT + 40;
/** The same at every node: each has an address of its own. */
const NODE_PORTS = {
  frontend: BASE_PORT + 50, readiness: BASE_PORT + 51, resolver: BASE_PORT + 52, control: BASE_PORT + 53,
  datagrams: BASE_PORT + 54, metrics: BASE_PORT + 55,
};
const REPLICAS = Number(options.replicas);
const SLOTS_OF_REPLICA = 8;
const PARTITIONS = 4;
const EVENTS = 8;
const ITEMS = 5;
const GRACE_S = 4;
/** Within this time each node acts on a change, */
const BOUND_MS = 2000;
/** counted for nodes that nothing has happened to for so long. */
const CALM_MS = 3000;
/** Over how much time, and how exactly, rate limits are to be kept. */
const RATE_WINDOW = { windowMs: 5000, overage: 0.1, slack: 20 };
/**
 * A tenant below its limit may be refused for so long after a fault: nodes that start take themselves for parts
 * of a large fleet for 5 s (`kReportedNodesTime` of the rate limiter), and then their buckets fill.
 */
const LIMIT_SETTLE_MS = 6000;
/** Tenants go on sending for so long after the last fault. */
const TENANTS_AFTER_FAULTS_MS = 12000;
/** Part of the requests of a tenant below its limit that may be refused in calm times, and one more. */
const REFUSED_BELOW_LIMIT = 0.01;
/** Requests of the hot tenant a second; its limit is a small part of that. */
const HOT_PER_SECOND = 120;
const STEADY_PER_SECOND = 10;
/** Limits of which one is in force, in requests a second; a burst is what a second gives. */
const HOT_LIMITS = [10, 20, 30];
const STEADY_LIMITS = [40, 60];
/** Requests that crash replicas: different ones, each sent again after so long. */
const CRASHING_REQUESTS = 2;
const CRASHING_PAUSE_MS = 400;
/** A replica that crashed starts again after one of these times; 0: its address accepts connections all the time. */
const CRASH_DOWN_MS = [0, 30, 300, 1500];
/** After so many crashes a request has to be known, */
const CRASHES_NEEDED = 3;
/** a part of prompts after so many, */
const PART_CRASHES_NEEDED = 5;
/** The first part of the prompts of crashing and sound requests, and the part that crashes replicas. */
const FIRST_PART = 'f1';
const CRASHING_PART = 'dead0';
/** and no more attempts of it than this reach replicas, once nodes in touch have had time to hear of it. */
const ATTEMPTS_AFTER_CRASHES = 3;
/** Software versions of replicas. */
const VERSIONS = ['v1', 'v2', 'v3'];
/** Readers of jobs beside the one that reads each job in turn; they read the newest of this many jobs. */
const READERS = 4;
const RECENT_JOBS = 4;
/** What was read this long ago is to be found at all nodes. */
const SETTLED_MS = 1000;
/** The time before a node falls out of step, in which all nodes see one software version. */
const IN_STEP_MS = 3000;
/** More datagrams than the socket of a node holds. */
const DATAGRAMS_OF_A_FULL_SOCKET = 2000;
/** Attempts of a caller to resume its stream. */
const STREAM_RETRIES = 3;
/** Requests that nobody waits for have their answers after this time. */
const ANSWERS_MS = 5000;
/** Accepted jobs must be done this long after the last fault. */
const SETTLE_MS = 40000;

const random = generator(Number(options.seed));
/** Apart from the faults' numbers, so that their sequence stays that of the seed. */
const versionRandom = generator(Number(options.seed) + 2);
const partRandom = generator(Number(options.seed) + 3);
const endRandom = generator(Number(options.seed) + 4);
const outOfStepRandom = generator(Number(options.seed) + 5);
/** Apart from the faults' numbers: how many of these are drawn depends on the machine's pace. */
const tenantRandom = generator(Number(options.seed) + 1);
const pick = (list, from = random) => list[Math.floor(from() * list.length)];
const between = (low, high, from = random) => low + from() * (high - low);

const folder = mkdtempSync(path.join(tmpdir(), 'dockpoint-soak-'));
const broken = [];
const counts = { served: 0, refused: 0, failed: 0, unanswered: 0, jobs: 0, faults: 0 };
const started = Date.now();
const say = (text) => console.log(`${((Date.now() - started) / 1000).toFixed(2)} ${text}`);

function violate(promise, detail) {
  broken.push({ promise, detail });
  say(`BROKEN ${promise}: ${detail}`);
}

/** One request, on a connection of its own unless an agent is given. @return status 0 without a whole answer. */
function call(ip, port, method, target, { headers = {}, body = '', timeout = 4000, agent = false } = {}) {
  return new Promise((resolve) => {
    const request = http.request({
      host: ip, port, method, path: target, agent, timeout,
      headers: { Host: 'soak.example', 'Content-Length': Buffer.byteLength(body), ...headers },
    }, (response) => {
      let text = '';
      response.on('data', (bytes) => { text += bytes; });
      response.on('end', () => resolve({ status: response.statusCode, text, headers: response.headers }));
      response.on('error', () => resolve({ status: 0 }));
      response.on('close', () => resolve({ status: 0 }));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({ status: 0 }));
    request.end(body);
  });
}
const control = (target) => call('127.0.0.1', CONTROL_PORT, 'POST', target);

/** The key of a tenant as the configuration has it. */
const keyOf = (tenant) => `key-of-${tenant}`;
/** One request of a tenant to a node. */
const callNode = (machine, method, target, { tenant = 'plain', headers = {}, ...rest } = {}) =>
  call(machine.ip, NODE_PORTS.frontend, method, target, { headers: { 'Api-Key': keyOf(tenant), ...headers }, ...rest });

const faultSpans = new FaultSpans();

/** One machine: its settings, and its process, which starts again when it ends. */
class Machine {
  constructor(number) {
    this.name = `node-${number}`;
    this.ip = `127.0.0.${10 + number}`;
    this.frozen = false;
    this.settings = path.join(folder, `${this.name}.json`);
    this.storeLink = new FaultyProxy({ host: this.ip, port: STORE_PROXY_PORT }, { host: '127.0.0.1', port: STORE_PORT }, random);
    const listen = Object.entries(NODE_PORTS).map(([use, port]) => [use, `${this.ip}:${port}`]);
    writeFileSync(this.settings, JSON.stringify({
      node: this.name, zone: 'zone-a', region: 'region-a',
      seeds: [11, 12].map((host) => `127.0.0.${host}:${NODE_PORTS.control}`),
      listen: Object.fromEntries(listen),
      log: {
        address: `${this.ip}:${STORE_PROXY_PORT}`, partitions: PARTITIONS, record_bytes: 262144,
        call_bytes: 2097152, minimum_lease_ms: 1000,
      },
      times: { address_lifetime_s: 5, grace_s: GRACE_S },
      tenants: { rate_window_s: RATE_WINDOW.windowMs / 1000, rate_overage: RATE_WINDOW.overage, rate_slack: RATE_WINDOW.slack },
    }));
  }

  start() {
    this.process = new ManagedProcess(this.name, 'dockpoint-platform', ['--settings', this.settings], folder);
    const { process: own } = this;
    this.earlierLog = own.log().length;
    faultSpans.begin(Date.now())(Date.now());
    own.exited.then(({ code, signal }) => {
      if (code !== 0 && signal !== 'SIGKILL' && !this.stopped) {
        violate('ENDS', `${this.name} ended by itself, code ${code} signal ${signal}`);
      }
      this.frozen = false;
      const startedAgain = faultSpans.begin(Date.now());
      if (this.stopped) return;
      setTimeout(() => {
        if (!this.stopped) this.start();
        startedAgain(Date.now());
      }, between(200, 1000));
    });
  }

  /** No process handles a signal before its first instructions: a life that has just begun is left alone. */
  askToStop() {
    const started = this.process.log().slice(this.earlierLog).includes('gateway: started');
    if (started) this.process.signal('SIGTERM');
  }

  async freeze(milliseconds) {
    this.process.signal('SIGSTOP');
    this.frozen = true;
    await sleep(milliseconds);
    // What waits at its sockets is the first that it does when it wakes, before it knows what it missed.
    const reads = [...jobs.keys()].slice(-20).map((id) => readJob(id, this));
    await sleep(50);
    this.process.signal('SIGCONT');
    this.frozen = false;
    await Promise.all(reads);
  }
}

const platform = new ManagedProcess('platform', 'dockpoint-platform-stand-in',
  [STORE_PORT, CONTROL_PORT, REPLICAS, FIRST_REPLICA_PORT, FIRST_REPLICA_PROXY_PORT].map(String), folder);
const replicaLinks = Array.from({ length: REPLICAS }, (_, index) => new FaultyProxy(
  { host: '127.0.0.1', port: FIRST_REPLICA_PROXY_PORT + index },
  { host: '127.0.0.1', port: FIRST_REPLICA_PORT + index }, random));
const machines = Array.from({ length: Number(options.nodes) }, (_, index) => new Machine(index + 1));

/** Callers that keep their connections open as long as they can. */
const keepingAgent = new http.Agent({ keepAlive: true, maxSockets: 64, timeout: 15000 });

let requestNumber = 0;
let finished = false;
let tenantsFinished = false;
const onceAnswers = new Map();

async function sendRequests() {
  while (!finished) {
    const kind = random() < 0.5 ? 'quick' : 'once';
    const id = `${kind}${++requestNumber}`;
    const target = `/${kind}/${requestNumber}`;
    const agent = random() < 0.5 ? keepingAgent : false;
    callNode(pick(machines), 'POST', target, { headers: { 'Attempt-Id': id }, agent }).then((answer) => {
      if (kind === 'once') onceAnswers.set(id, answer.status);
      if (answer.status === 200) {
        ++counts.served;
        if (answer.text !== `done ${target}` || answer.headers['response-signature'] !== 'signed') {
          violate('MIXED', `${id} got another answer: ${answer.text}`);
        }
      } else if (answer.status === 503 || answer.status === 429) {
        ++counts.refused;
      } else if (answer.status === 0) {
        ++counts.unanswered;
      } else {
        ++counts.failed;
        if ([400, 401, 404].includes(answer.status)) violate('DENIED', `${id} got ${answer.status}`);
      }
      if (answer.status === 429) violate('LIMIT', `${id} got 429, and its tenant has no limit`);
    });
    await sleep(between(5, 30));
  }
}

/** What became of the requests of the tenants with limits: {id, sentAt, answeredAt, status}. */
const tenantRequests = { hot: [], steady: [] };

/** Sends requests of a tenant at an even rate, to any node. */
async function sendAsTenant(tenant, perSecond) {
  while (!tenantsFinished) {
    const id = `${tenant}${++requestNumber}`;
    const request = { id, sentAt: Date.now() };
    callNode(pick(machines, tenantRandom), 'POST', `/quick/${id}`, { tenant, headers: { 'Attempt-Id': id }, agent: keepingAgent }).then((answer) => {
      tenantRequests[tenant].push({ ...request, answeredAt: Date.now(), status: answer.status });
      if ([400, 401, 404].includes(answer.status)) violate('DENIED', `${id} got ${answer.status}`);
      if (answer.status === 429 && !(Number(answer.headers['retry-after']) > 0)) {
        violate('LIMIT', `${id} got 429 without a time to come back`);
      }
    });
    await sleep(between(500, 1500, tenantRandom) / perSecond);
  }
}

/** Requests with a key that no tenant has must not be served. */
async function sendUnknownKeys() {
  while (!finished) {
    const id = `unknown${++requestNumber}`;
    const answer = await callNode(pick(machines, tenantRandom), 'POST', `/quick/${id}`, { tenant: 'nobody', headers: { 'Attempt-Id': id } });
    if (![0, 401, 503].includes(answer.status)) violate('KEYS', `${id} got ${answer.status} with an unknown key`);
    await sleep(200);
  }
}

/** Times at which replicas crashed under a request that crashes them, by its target. */
const crashes = new Map();
const crashedReplicas = new Set();

/** Ends a replica, whose next life begins a while later. @param version of its software then; empty: as before */
async function crashReplica(number, version = '') {
  if (crashedReplicas.has(number)) return;
  crashedReplicas.add(number);
  const inGoodOrder = endRandom() < 0.5;
  const downMs = pick(CRASH_DOWN_MS, endRandom);
  if (downMs === 0) {
    await control(`/life?number=${number}&version=${version}`);
    replicaLinks[number].endConnections(inGoodOrder);
  } else {
    replicaLinks[number].stop(inGoodOrder);
    await sleep(downMs);
    await control(`/life?number=${number}&version=${version}`);
    replicaLinks[number].start();
  }
  crashedReplicas.delete(number);
}

/** Crashes replicas that run a request which crashes them. */
async function crashReplicas() {
  while (!finished) {
    const answer = await control('/crashing');
    for (const { number, target } of answer.status === 200 ? JSON.parse(answer.text) : []) {
      if (crashedReplicas.has(number)) continue;
      crashes.set(target, [...(crashes.get(target) ?? []), Date.now()]);
      crashReplica(number);
    }
    await sleep(10);
  }
}

/** The node that callers of broken streams come back to, if there is one. */
let returnsTo = null;

/** Sends a node more datagrams than its socket holds, so that it hears nothing that is sent later. */
async function fillDatagramSocket(machine) {
  const socket = dgram.createSocket('udp4');
  const noise = Buffer.alloc(1000);
  const send = () => new Promise((resolve) => { socket.send(noise, NODE_PORTS.datagrams, machine.ip, resolve); });
  for (let sent = 0; sent < DATAGRAMS_OF_A_FULL_SOCKET; ++sent) await send();
  socket.close();
}

/** One node is out of step while a second software version joins; then the others are killed. */
async function fallOutOfStep() {
  await sleep(IN_STEP_MS);
  const machine = pick(machines, outOfStepRandom);
  say(`${machine.name} falls out of step`);
  machine.storeLink.set('silent');
  machine.process.signal('SIGSTOP');
  machine.frozen = true;
  await fillDatagramSocket(machine);
  for (let number = 0; number < REPLICAS; number += 2) crashReplica(number, 'v2');
  await sleep(between(1600, 2500, outOfStepRandom));
  returnsTo = machine;
  for (const other of machines) {
    if (other !== machine) other.process.signal('SIGKILL');
  }
  await sleep(between(50, 400, outOfStepRandom));
  machine.process.signal('SIGCONT');
  machine.frozen = false;
  await sleep(between(1000, 4000, outOfStepRandom));
  returnsTo = null;
  machine.storeLink.set('pass');
  say(`${machine.name} is in step again`);
}

/** Replaces replicas by others of another software version. */
async function replaceReplicas() {
  while (!finished && !options['out-of-step']) {
    await sleep(between(1500, 4000, versionRandom) * Number(options['replacement-pause']));
    const number = Math.floor(versionRandom() * REPLICAS);
    const to = pick(VERSIONS, versionRandom);
    say(`replica-${number} is replaced by ${to}`);
    counts.replaced = (counts.replaced ?? 0) + 1;
    await makeFault(() => crashReplica(number, to));
  }
}

/** One attempt of a stream. @return status, the texts of the events that arrived whole, and whether the answer ended well */
function readStream(ip, target, headers) {
  return new Promise((resolve) => {
    let text = '';
    let status = 0;
    const done = (ended) => resolve({ status, ended, events: text.split('\n\n').slice(0, -1) });
    const request = http.request({
      host: ip, port: NODE_PORTS.frontend, method: 'POST', path: target, agent: false, timeout: 4000,
      headers: { Host: 'soak.example', 'Content-Length': 0, 'Api-Key': keyOf('plain'), 'Deadline-Ms': 3000, ...headers },
    }, (response) => {
      status = response.statusCode;
      response.on('data', (bytes) => { text += bytes; });
      response.on('end', () => done(true));
      response.on('error', () => done(false));
      response.on('close', () => done(false));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(false));
    request.end();
  });
}

/** Reads one stream, and resumes it at any node when it breaks. */
async function followStream(number) {
  const target = `/stream/${number}`;
  const firstId = `stream${number}`;
  const events = [];
  for (let attempt = 0; attempt <= STREAM_RETRIES; ++attempt) {
    const resumed = events.length > 0;
    const headers = resumed
      ? { 'Attempt-Id': `${firstId}-${attempt}`, Resumes: firstId, 'Last-Event-Id': events.length }
      : { 'Attempt-Id': firstId };
    const any = pick(machines, versionRandom);
    const machine = resumed && returnsTo !== null ? returnsTo : any;
    const answer = await readStream(machine.ip, target, headers);
    if (answer.status === 200) {
      events.push(...answer.events);
      const wanted = events.map((_, index) => `id: ${index + 1}\ndata: ${target} ${index + 1} `);
      const versions = new Set(events.map((event) => event.slice(event.lastIndexOf(' ') + 1)));
      if (versions.size > 1) violate('ORDER', `${firstId} holds events of ${[...versions]}`);
      if (!events.every((event, index) => event.startsWith(wanted[index]))) {
        violate('ORDER', `${firstId} lacks an event or has one twice: ${events}`);
      }
      if (answer.ended && events.length < EVENTS) violate('ORDER', `${firstId} ends after ${events.length} events`);
    }
    if (resumed) {
      const outcome = answer.status === 200 && answer.events.length > 0 ? 'resumed' : `not resumed (${answer.status})`;
      counts.streams[outcome] = (counts.streams[outcome] ?? 0) + 1;
    }
    if (events.length === EVENTS) {
      ++counts.streams.complete;
      return;
    }
    // An attempt that brought no event is not the one that a later attempt resumes.
    if (!resumed && events.length === 0) return;
    await sleep(between(10, 400, versionRandom));
  }
}

/** Reads one stream of a route that may not be resumed. */
async function followTalk(number) {
  const target = `/talk/${number}`;
  const id = `talk${number}`;
  const answer = await readStream(pick(machines, endRandom).ip, target, { 'Attempt-Id': id });
  if (answer.status !== 200) return;
  const { events } = answer;
  if (!events.every((event, index) => event.startsWith(`id: ${index + 1}\ndata: ${target} ${index + 1} `))) {
    violate('ORDER', `${id} lacks an event or has one twice: ${events}`);
  }
  if (answer.ended && events.length < EVENTS) violate('ORDER', `${id} ends after ${events.length} events`);
  counts.talks[answer.ended ? 'ended' : 'broken'] += 1;
}

async function followTalks() {
  counts.talks = { ended: 0, broken: 0 };
  for (let number = 1; !finished; ++number) {
    followTalk(number);
    await sleep(between(20, 60, endRandom));
  }
}

async function followStreams() {
  counts.streams = { begun: 0, complete: 0 };
  while (!finished) {
    followStream(++counts.streams.begun);
    await sleep(between(20, 60, versionRandom));
  }
}

async function sendCrashing(number) {
  while (!finished) {
    callNode(pick(machines, tenantRandom), 'POST', `/quick/crash/${number}`, { headers: { 'Attempt-Id': `crash${++requestNumber}` }, body: 'crash' });
    await sleep(between(0.5, 1.5, tenantRandom) * CRASHING_PAUSE_MS);
  }
}

/** Requests of which no two are alike, and whose prompts share a part that crashes replicas. */
async function sendCrashingParts() {
  while (!finished) {
    const own = ++requestNumber;
    callNode(pick(machines, partRandom), 'POST', `/quick/part/${own}`, {
      headers: { 'Attempt-Id': `part${own}`, 'Prompt-Prefix': `${FIRST_PART}:10,${CRASHING_PART}:10,${own}:5` }, body: `part ${own}`,
    });
    await sleep(between(0.5, 1.5, partRandom) * CRASHING_PAUSE_MS);
  }
}

/** What became of sound requests with the same first part: {sentAt, answeredAt, status}. */
const soundRequests = [];

async function sendSoundParts() {
  while (!finished) {
    const own = ++requestNumber;
    const sentAt = Date.now();
    callNode(pick(machines, partRandom), 'POST', `/quick/sound/${own}`, {
      headers: { 'Attempt-Id': `sound${own}`, 'Prompt-Prefix': `${FIRST_PART}:10,${1000 + (own % 300)}:10,${own}:5` }, body: `sound ${own}`,
    }).then(({ status }) => soundRequests.push({ sentAt, answeredAt: Date.now(), status }));
    await sleep(between(20, 60, partRandom));
  }
}

/** Once a crashing part has to be known, sound requests with the same first part are served in calm times. */
function checkSound() {
  const knownAt = (crashes.get(CRASHING_PART) ?? [])[PART_CRASHES_NEEDED - 1] + 2 * CALM_MS;
  const late = soundRequests.filter(({ sentAt, answeredAt }) => sentAt > knownAt && faultSpans.calm(sentAt - CALM_MS, answeredAt, 0));
  const served = late.filter(({ status }) => status === 200).length;
  counts.sound = { sent: soundRequests.length, served: soundRequests.filter(({ status }) => status === 200).length, late: late.length, lateServed: served };
  if (late.length >= 20 && served < late.length / 2) {
    violate('LOST', `${served} of ${late.length} sound requests served that share a part with crashing ones`);
  }
}

/** Bounds what reached replicas of requests that had crashed some, in times without faults. */
function checkCrashing(reached) {
  counts.crashing = {};
  for (const [target, times] of Object.entries(reached)) {
    const ends = crashes.get(target) ?? [];
    counts.crashing[target] = { reached: times.length, ends: ends.length };
    const needed = target === CRASHING_PART ? PART_CRASHES_NEEDED : CRASHES_NEEDED;
    if (ends.length < needed) continue;
    const knownAt = ends[needed - 1] + CALM_MS;
    const late = times.filter((time) => time > knownAt && faultSpans.calm(time - CALM_MS, time, 0));
    if (late.length > ATTEMPTS_AFTER_CRASHES) {
      violate('BUDGET', `${target} reached replicas ${late.length} times after it had crashed ${needed}`);
    }
  }
}

/** Accepted jobs: id, and the results that were read, in order. */
const jobs = new Map();

async function submitJobs() {
  for (let number = 1; !finished; ++number) {
    const id = `aa${number.toString(16).padStart(6, '0')}`;
    const requests = Array.from({ length: ITEMS }, (_, item) => ({
      id: `${id}-${item}`, path: item === 0 && number % 5 === 0 ? `/batch/never/${id}` : `/batch/${id}/${item}`,
      headers: {}, body: '',
    }));
    const body = JSON.stringify({ requests });
    for (let attempt = 0; attempt < 6; ++attempt) {
      const answer = await callNode(pick(machines), 'POST', '/batch/x', { headers: { 'Attempt-Id': id }, body });
      if (answer.status === 202) {
        jobs.set(id, { requests, results: [], firstReadAt: [], acceptedAt: Date.now() });
        ++counts.jobs;
        break;
      }
      if (answer.status >= 400 && answer.status < 500 && answer.status !== 429) {
        violate('DENIED', `job ${id} got ${answer.status} ${answer.text}`);
      }
      await sleep(200);
    }
    await sleep(between(100, 500));
  }
}

/** Reads a job from the start at one node; what had been read must come again. */
async function readJob(id, machine) {
  const job = jobs.get(id);
  const seen = job.results.length;
  const answer = await callNode(machine, 'GET', `/v1/lots/${id}?sinceRevision=0`);
  if (answer.status === 404 || answer.status === 410) {
    violate('LOST', `job ${id} got ${answer.status} at ${machine.name}`);
  }
  if (answer.status !== 200) return false;
  const { results, total } = JSON.parse(answer.text);
  if (total !== ITEMS) violate('MIXED', `job ${id} has total ${total}`);
  if (new Set(results.map((result) => result.id)).size !== results.length) {
    violate('TWICE', `job ${id} lists an item twice`);
  }
  for (let index = 0; index < Math.max(seen, results.length); ++index) {
    const [before, now] = [job.results[index], results[index]];
    if (index < seen && JSON.stringify(before) !== JSON.stringify(now)) {
      const readBefore = `first read ${Date.now() - job.firstReadAt[index]} ms before`;
      violate('LOST', `job ${id} position ${index} at ${machine.name}, ${readBefore}: ${JSON.stringify(before)} became ${JSON.stringify(now)}`);
    } else if (now && !before) {
      checkResult(job, now);
      job.results[index] = now;
      job.firstReadAt[index] = Date.now();
    }
  }
  return true;
}

function checkResult(job, result) {
  const item = job.requests.find((request) => request.id === result.id);
  if (!item) {
    violate('MIXED', `a result of another job: ${result.id}`);
  } else if (item.path.startsWith('/batch/never')) {
    if (result.state !== 'dead_lettered') violate('MIXED', `${result.id} is ${result.state}`);
  } else {
    const texts = VERSIONS.map((software) =>
      Array.from({ length: EVENTS }, (_, event) => `${item.path} ${event + 1} ${software}`).join('\n'));
    if (result.state !== 'succeeded' || !texts.includes(result.text)) {
      violate('ORDER', `${result.id} is ${result.state}: ${result.text}`);
    }
  }
}

async function readJobs() {
  while (!finished) {
    // One at a time for a job: readings of one job must not overtake each other.
    if (jobs.size > 0) await readJob(pick([...jobs.keys()]), pick(machines));
    await sleep(20);
  }
}

/** Positions that any reader has read, by job: when each was read first. */
const readPositions = new Map();

/** Reads a job as one of several readers: what any of them read a while before is there, at any node. */
async function readAsOneOfSeveral(id) {
  const startedAt = Date.now();
  const machine = pick(machines, endRandom);
  const answer = await callNode(machine, 'GET', `/v1/lots/${id}?sinceRevision=0`);
  if (answer.status !== 200) return;
  const { results } = JSON.parse(answer.text);
  const positions = readPositions.get(id) ?? [];
  readPositions.set(id, positions);
  positions.forEach(({ readAt, result }, index) => {
    const age = startedAt - readAt;
    const same = JSON.stringify(results[index]) === result;
    if (results[index] && !same) violate('TWICE', `job ${id} position ${index} at ${machine.name} has another result`);
    if (!results[index] && age > SETTLED_MS) {
      violate('LOST', `job ${id} position ${index} at ${machine.name} is missing ${age} ms after it was read`);
    }
  });
  results.forEach((result, index) => {
    positions[index] ??= { readAt: Date.now(), result: JSON.stringify(result) };
  });
}

/** One of several readers, of jobs that still get results for the most part. */
async function readJobsBesideOthers() {
  while (!finished) {
    const recent = [...jobs.keys()].slice(-RECENT_JOBS);
    if (recent.length > 0) await readAsOneOfSeveral(pick(recent, endRandom));
    await sleep(between(5, 40, endRandom));
  }
}

/** Value of a metric at a node; 0 without an answer. @param name with its labels */
async function metricAt(machine, name) {
  const answer = await call(machine.ip, NODE_PORTS.metrics, 'GET', '/metrics', { timeout: 1000 });
  const line = answer.status === 200 && answer.text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  return line ? Number(line.slice(name.length)) : 0;
}

/** Sum of a metric over all nodes. */
async function metricOfAll(name) {
  const values = await Promise.all(machines.map((machine) => metricAt(machine, name)));
  return values.reduce((sum, value) => sum + value, 0);
}

async function watchVersions() {
  while (!finished) {
    for (const machine of machines) {
      const life = machine.process;
      const version = await metricAt(machine, 'dockpoint_gateway_configuration_version');
      if (version > 0 && machine.process === life) {
        if (life.highestVersion > version) {
          violate('CONFIG', `${machine.name} went back from version ${life.highestVersion} to ${version}`);
        }
        life.highestVersion = version;
      }
    }
    await sleep(100);
  }
}

let version = 1;
const limits = { hot: new LimitHistory(RATE_WINDOW), steady: new LimitHistory(RATE_WINDOW) };

/** Publishes the next configuration, with other limits and priorities of the tenants. */
async function publishConfiguration() {
  version += 1 + Math.floor(tenantRandom() * 3);
  const chosen = { hot: pick(HOT_LIMITS, tenantRandom), steady: pick(STEADY_LIMITS, tenantRandom) };
  const urgency = Math.floor(tenantRandom() * 2);
  const publishedAt = Date.now();
  await control(`/configuration?version=${version}&hot=${chosen.hot}&steady=${chosen.steady}&hot_priority=${urgency}`);
  const inForceAt = Date.now() + BOUND_MS;
  for (const [tenant, rate] of Object.entries(chosen)) {
    limits[tenant].change({ perSecond: rate, burst: rate }, publishedAt, inForceAt);
  }
}

/** In calm times nodes agree on whose the slots are. */
async function checkOwnSlots() {
  const own = await metricOfAll('dockpoint_gateway_own_slots');
  const slots = REPLICAS * SLOTS_OF_REPLICA;
  counts.ownSlots = own;
  if (own > slots) violate('SLOTS', `the nodes count ${own} slots as their own, of ${slots}`);
}

/** In a calm moment: a route is added, limits change, a replica drains; known everywhere within the bound. */
async function changeSomething() {
  await sleep(CALM_MS);
  const lives = machines.map((machine) => machine.process);
  const replica = Math.floor(random() * REPLICAS);
  await publishConfiguration();
  await control(`/replica?number=${replica}&state=draining`);
  await sleep(BOUND_MS);
  const before = JSON.parse((await control('/arrivals')).text)[replica];
  for (const [index, machine] of machines.entries()) {
    const { status } = await callNode(machine, 'GET', `/added-${version}/x`, { headers: { 'Attempt-Id': `added${++requestNumber}` } });
    if (status === 404 && machine.process === lives[index]) {
      violate('CONFIG', `${machine.name} does not serve the route of version ${version}`);
    }
  }
  await checkOwnSlots();
  await sleep(500);
  const after = JSON.parse((await control('/arrivals')).text)[replica];
  if (after > before) violate('DRAIN', `${after - before} requests reached replica-${replica} after the bound`);
  counts.changes = (counts.changes ?? 0) + 1;
  await control(`/replica?number=${replica}&state=ready`);
}

/** Lets a link misbehave in one way for a while. */
async function disturb(link, longest) {
  link.set(pick(MODES));
  await sleep(between(300, longest));
  link.set('pass');
}

const faults = [
  ['freeze', async () => { const machine = pick(machines); if (!machine.frozen) await machine.freeze(between(300, 3500)); }],
  ['kill', async () => pick(machines).process.signal('SIGKILL')],
  ['kill all', async () => machines.forEach((machine) => machine.process.signal('SIGKILL'))],
  ['stop', async () => pick(machines).askToStop()],
  ['store down', async () => { await control('/faults?down=1'); await sleep(between(500, 4000)); await control('/faults'); }],
  ['store silent', async () => { await control('/faults?silent=1'); await sleep(between(500, 4000)); await control('/faults'); }],
  ['answers lost', async () => { await control('/faults?lose=0.3&delay=0.3'); await sleep(between(1000, 4000)); await control('/faults'); }],
  ['link to the store', async () => disturb(pick(machines).storeLink, 5000)],
  ['replica crashes', async () => crashReplica(Math.floor(random() * REPLICAS))],
  ['link to a replica', async () => disturb(pick(replicaLinks), 4000)],
  ['links to all replicas', async () => Promise.all(replicaLinks.map((link) => disturb(link, 2000)))],
  ['history forgotten', async () => control('/forget')],
  ['partitions dealt anew', async () => control('/rebalance')],
];

/** Makes a fault, and notes when it was under way. */
async function makeFault(make) {
  const over = faultSpans.begin(Date.now());
  await make();
  over(Date.now());
}

/** Faults that begin shortly after each other, whatever the former ones still do. */
async function makeSeries() {
  const length = 3 + Math.floor(random() * 4);
  const running = [];
  for (let index = 0; index < length; ++index) {
    const [name, make] = pick(faults);
    say(`fault in a series: ${name}`);
    ++counts.faults;
    running.push(makeFault(make));
    await sleep(between(50, 600));
  }
  await Promise.all(running);
}

async function makeFaults() {
  if (options['out-of-step']) {
    await makeFault(fallOutOfStep);
    return;
  }
  while (Date.now() - started < seconds * 1000) {
    const turn = random();
    if (turn < 0.15) {
      await makeSeries();
      continue;
    }
    if (turn < 0.3) {
      await changeSomething();
      continue;
    }
    const together = random() < 0.3 ? 2 : 1;
    const chosen = Array.from({ length: together }, () => pick(faults));
    say(`fault: ${chosen.map(([name]) => name).join(' and ')}`);
    counts.faults += together;
    await Promise.all(chosen.map(([, make]) => makeFault(make)));
    await sleep(between(300, 2500));
  }
}

function checkTenants(record) {
  for (const [tenant, history] of Object.entries(limits)) {
    const [worst] = windowsOverLimit(tenantRequests[tenant], history).sort((one, other) => other.admitted - one.admitted);
    if (worst) {
      violate('LIMIT', `${tenant}: ${worst.admitted} requests in the window from ${((worst.start - started) / 1000).toFixed(2)} s, allowed ${worst.allowed}`);
    }
    for (const { id } of tenantRequests[tenant]) {
      if (record.runs[id] && record.tenants[id] !== tenant) violate('MIXED', `${id} ran as ${record.tenants[id]}'s`);
    }
  }
  const { asked, refused } = refusalsInCalm(tenantRequests.steady, faultSpans, LIMIT_SETTLE_MS);
  if (refused > asked * REFUSED_BELOW_LIMIT + 1) {
    violate('LIMIT', `steady: ${refused} of ${asked} requests refused in calm times, and it is below its limit`);
  }
  if (record.keys_seen > 0) violate('KEYS', `${record.keys_seen} requests reached replicas with their caller's key`);
  counts.steadyInCalm = { asked, refused };
  for (const [tenant, requests] of Object.entries(tenantRequests)) {
    counts[tenant] = { sent: requests.length, served: requests.filter(({ status }) => status === 200).length,
      overLimit: requests.filter(({ status }) => status === 429).length };
  }
}

async function checkAtEnd() {
  const until = Date.now() + SETTLE_MS;
  const unfinished = () => [...jobs].filter(([, job]) => job.results.length < ITEMS);
  while (unfinished().length > 0 && Date.now() < until) {
    for (const [id] of unfinished()) await readJob(id, pick(machines));
    await sleep(100);
  }
  for (const [id, job] of unfinished()) violate('LOST', `job ${id} has ${job.results.length} of ${ITEMS} results`);
  for (const id of jobs.keys()) {
    for (const machine of machines) await readJob(id, machine);
  }
  const record = JSON.parse((await control('/runs')).text);
  const { runs } = record;
  checkTenants(record);
  checkCrashing(record.crashing);
  checkSound();
  for (const [id, status] of onceAnswers) {
    const ran = runs[id] ?? 0;
    if (ran > 1) violate('TWICE', `${id} ran ${ran} times`);
    if (ran > 0 && [429, 503, 408, 421].includes(status)) violate('REFUSED', `${id} got ${status} and ran`);
    if (ran === 0 && status === 200) violate('MIXED', `${id} got 200 and did not run`);
  }
}

say(`seed ${options.seed}, ${seconds} s, ${machines.length} nodes, logs in ${folder}`);
try {
  await eventually('the platform', async () => (await control('/runs')).status === 200);
  const links = [...replicaLinks, ...machines.map((machine) => machine.storeLink)];
  await Promise.all(links.map((link) => link.ready));
  await control(`/service-time?ms=${options['service-ms']}`);
  await publishConfiguration();
  machines.forEach((machine) => machine.start());
  for (const machine of machines) {
    await eventually(machine.name, async () => (await call(machine.ip, NODE_PORTS.readiness, 'GET', '/')).status === 200);
  }
  const work = [sendRequests(), submitJobs(), readJobs(), watchVersions(), sendUnknownKeys(), crashReplicas(),
    replaceReplicas(), followStreams(), followTalks(), sendCrashingParts(), sendSoundParts(),
    ...Array.from({ length: READERS }, () => readJobsBesideOthers()),
    ...Array.from({ length: CRASHING_REQUESTS }, (_, index) => sendCrashing(index))];
  const tenants = [sendAsTenant('hot', HOT_PER_SECOND), sendAsTenant('steady', STEADY_PER_SECOND)];
  await makeFaults();
  await control('/faults');
  say('faults are over');
  finished = true;
  await Promise.all(work);
  await sleep(TENANTS_AFTER_FAULTS_MS);
  tenantsFinished = true;
  await Promise.all(tenants);
  await sleep(ANSWERS_MS);
  counts.placements = {
    own: await metricOfAll('dockpoint_gateway_placements_total{slot="own"}'),
    other: await metricOfAll('dockpoint_gateway_placements_total{slot="other"}'),
  };
  await checkAtEnd();
} finally {
  for (const machine of machines) {
    machine.stopped = true;
    if (machine.process) await machine.process.end('SIGKILL');
  }
  await platform.end('SIGKILL');
  for (const link of [...replicaLinks, ...machines.map((machine) => machine.storeLink)]) link.close();
  keepingAgent.destroy();
}
say(`${JSON.stringify(counts)} broken=${broken.length}`);
// Everything has been ended and closed; a handle that stays open all the same must not hold up the run.
process.exit(broken.length > 0 ? 1 : 0);
