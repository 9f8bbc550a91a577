// Starts and stops real dockpoint processes on loopback, for tests and the demo.

import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const SOURCE = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const BINARIES = process.env.DOCKPOINT_BINARIES ?? path.join(SOURCE, 'build');

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Repeats `probe` until it returns something true. */
export async function eventually(what, probe, timeoutMs = 20000) {
  const limit = Date.now() + timeoutMs;
  let last;
  while (Date.now() < limit) {
    try {
      last = await probe();
      if (last) return last;
    } catch (error) {
      last = error;
    }
    await sleep(50);
  }
  throw new Error(`timed out waiting for ${what}; last: ${last}`);
}

// Below the range from which the kernel takes ports for outgoing connections: a port there may be
// taken by a connection of this very test while its process is down for a restart.
const FIRST_PORT = 12000;
const LAST_PORT = 27999;
const PORTS_OF_PROCESS = 400;
let nextPort = FIRST_PORT + ((process.pid * PORTS_OF_PROCESS) % (LAST_PORT - FIRST_PORT));

const listens = (port) => new Promise((resolve) => {
  const server = createServer();
  server.once('error', () => resolve(false));
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
});

/** A port that nothing listens on and no outgoing connection will take. */
export async function freePort() {
  for (let tries = 0; tries < LAST_PORT - FIRST_PORT; ++tries) {
    const port = nextPort;
    nextPort = nextPort === LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (await listens(port)) return port;
  }
  throw new Error('no free port');
}

/** One process, with its output in a file. */
export class ManagedProcess {
  /** @param descriptors limit on its open descriptors, if any */
  constructor(name, program, args, folder, { descriptors } = {}) {
    this.name = name;
    this.logFile = path.join(folder, `${name}.log`);
    const output = openSync(this.logFile, 'a');
    const command = [path.join(BINARIES, program), ...args];
    const limited = ['sh', '-c', 'ulimit -n "$0" && exec "$@"', String(descriptors), ...command];
    const [file, ...words] = descriptors ? limited : command;
    this.child = spawn(file, words, { stdio: ['ignore', output, output] });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  /** Ends the process and waits for it. */
  async end(signal = 'SIGTERM') {
    this.child.kill(signal);
    return this.exited;
  }

  log() {
    return readFileSync(this.logFile, 'utf8');
  }
}

/** A log, a machine list, engines and nodes of one deployment. */
export class Cluster {
  constructor() {
    this.folder = mkdtempSync(path.join(tmpdir(), 'dockpoint-'));
    this.engines = new Map();
    this.nodes = new Map();
    this.engineOptions = [];
  }

  /**
   * Starts everything and publishes the configuration.
   * @param deployment parsed configuration; engine addresses are replaced by free ports.
   */
  async start(deployment, { nodes = 3, zones = ['zone-1'], engineArgs = [], nodeArgs = [] } = {}) {
    this.engineArgs = engineArgs;
    this.nodeArgs = nodeArgs;
    this.logAddress = `127.0.0.1:${await freePort()}`;
    this.machinesAddress = `127.0.0.1:${await freePort()}`;
    this.logProcess = this.run('log', 'dockpoint-emulator', ['log', '--listen', this.logAddress]);
    this.machinesProcess = this.run('machines', 'dockpoint-emulator', [
      'machines', '--listen', this.machinesAddress, '--list-lag-ms', '500']);
    this.deployment = structuredClone(deployment);
    for (const engine of this.deployment.engines) {
      engine.address = `127.0.0.1:${await freePort()}`;
      this.startEngine(engine.name);
    }
    this.seeds = [];
    for (let index = 1; index <= nodes; ++index) {
      const name = `node-${index}`;
      const peer = `127.0.0.1:${await freePort()}`;
      this.seeds.push(peer);
      this.nodes.set(name, {
        name, peer, api: `127.0.0.1:${await freePort()}`, zone: zones[(index - 1) % zones.length],
      });
    }
    for (const name of this.nodes.keys()) this.startNode(name);
    await eventually('live nodes', async () =>
      (await Promise.all([...this.nodes.values()].map((node) => fetch(`http://${node.api}/livez`))))
        .every((response) => response.ok));
    await eventually('the first configuration', () => this.apply(this.deployment, 0));
    await this.settled();
  }

  run(name, program, args) {
    return new ManagedProcess(name, program, args, this.folder);
  }

  startEngine(name) {
    const engine = this.deployment.engines.find((entry) => entry.name === name);
    const process = this.run(name, 'dockpoint-emulator', [
      'engine', '--listen', engine.address, '--slots', String(engine.slots), ...this.engineArgs]);
    this.engines.set(name, { ...engine, process });
  }

  startNode(name) {
    const node = this.nodes.get(name);
    node.process = this.run(name, 'dockpointd', [
      '--node-name', name, '--zone', node.zone, '--listen-api', node.api, '--listen-peer', node.peer,
      '--platform-log', this.logAddress, '--platform-machines', this.machinesAddress,
      '--seeds', this.seeds.join(','), '--drain-seconds', '30', '--log-level', 'debug', ...this.nodeArgs]);
  }

  /** Publishes a configuration through a node. */
  async apply(configuration, baseRevision, node = 'node-1', author = 'operator') {
    const response = await fetch(`http://${this.nodes.get(node).api}/admin/v1/configuration`, {
      method: 'POST',
      body: JSON.stringify({ base_revision: baseRevision, author, configuration }),
    });
    const body = await response.json();
    if (!response.ok) throw Object.assign(new Error(body.error.message), { body });
    return body.revision;
  }

  /** Waits until every node is ready and every partition has one owner. */
  async settled(names = [...this.nodes.keys()]) {
    await eventually('ready nodes and owned partitions', async () => {
      let owned = 0;
      for (const name of names) {
        const ready = await fetch(`http://${this.nodes.get(name).api}/readyz`);
        if (!ready.ok) return false;
        owned += await this.metric(name, 'dockpoint_partitions_owned');
        if ((await this.metric(name, 'dockpoint_members_alive')) !== names.length) return false;
      }
      return owned === (this.deployment.partitions ?? 16);
    }, 30000);
  }

  async metric(node, name) {
    const text = await (await fetch(`http://${this.nodes.get(node).api}/metrics`)).text();
    const line = text.split('\n').find((entry) => entry.startsWith(`${name} `));
    return line === undefined ? undefined : Number(line.split(' ')[1]);
  }

  url(node) {
    return `http://${this.nodes.get(node).api}`;
  }

  /** Sets faults of a stand-in. */
  async fault(address, faults) {
    const response = await fetch(`http://${address}/admin/faults`, {
      method: 'POST', body: JSON.stringify(faults),
    });
    if (!response.ok) throw new Error(await response.text());
  }

  async listMachines(machines) {
    await fetch(`http://${this.machinesAddress}/admin/machines`, {
      method: 'POST', body: JSON.stringify({ machines }),
    });
  }

  /** How often each request ran on any engine that still lives. */
  async executions() {
    const all = new Map();
    for (const engine of this.engines.values()) {
      const response = await fetch(`http://${engine.address}/admin/executions`).catch(() => null);
      if (!response) continue;
      for (const [id, counts] of Object.entries(await response.json())) {
        const sum = all.get(id) ?? { started: 0, completed: 0 };
        sum.started += counts.started;
        sum.completed += counts.completed;
        all.set(id, sum);
      }
    }
    return all;
  }

  /** Ends every process. */
  async stop() {
    const processes = [
      ...[...this.nodes.values()].map((node) => node.process),
      ...[...this.engines.values()].map((engine) => engine.process),
      this.logProcess, this.machinesProcess,
    ].filter(Boolean);
    for (const process of processes) process.signal('SIGCONT');
    await Promise.all(processes.map((process) => process.end('SIGKILL')));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export function loadDeployment(name) {
  return JSON.parse(readFileSync(path.join(SOURCE, 'deployments', `${name}.json`), 'utf8'));
}

/** A small deployment for tests. */
export function smallDeployment(engines = 3, slots = 8) {
  return {
    partitions: 8,
    engines: Array.from({ length: engines }, (_, index) => ({
      name: `engine-${index + 1}`, address: '', model: 'lm', slots,
      labels: { generation: 'gen3', memory_gb: '80', zone: 'zone-1' },
    })),
    services: [{ name: 'lm', model: 'lm', priority: 80, selector: {} }],
  };
}

/** The lines of a batch input file. */
export function batchInput(count, { model = 'lm', tokens = 16, prefix = 'item' } = {}) {
  return Array.from({ length: count }, (_, index) => JSON.stringify({
    custom_id: `${prefix}-${index}`, method: 'POST', url: '/v1/chat/completions',
    body: {
      model, max_tokens: tokens, messages: [{ role: 'user', content: `${prefix} number ${index}` }],
    },
  })).join('\n') + '\n';
}

export async function upload(url, text) {
  const form = new FormData();
  form.append('purpose', 'batch');
  form.append('file', new Blob([text]), 'input.jsonl');
  const response = await fetch(`${url}/v1/files`, { method: 'POST', body: form });
  const body = await response.json();
  if (!response.ok) throw new Error(body.error.message);
  return body.id;
}

/** Creates a batch, resending under the same key until a node accepts it. */
export async function createBatch(urls, fileId, key, { metadata = {}, tenant = 'default' } = {}) {
  let attempt = 0;
  return eventually('an accepted batch', async () => {
    const url = urls[attempt++ % urls.length];
    const response = await fetch(`${url}/v1/batches`, {
      method: 'POST',
      headers: { 'Idempotency-Key': key, 'x-dockpoint-tenant': tenant },
      body: JSON.stringify({
        input_file_id: fileId, endpoint: '/v1/chat/completions', completion_window: '24h', metadata,
      }),
    });
    return response.ok ? response.json() : undefined;
  }, 40000);
}

export async function getBatch(urls, id) {
  for (const url of urls) {
    const response = await fetch(`${url}/v1/batches/${id}`).catch(() => null);
    if (response?.ok) return response.json();
  }
  return undefined;
}

export async function waitForBatch(urls, id, timeoutMs = 90000) {
  return eventually(`the end of ${id}`, async () => {
    const batch = await getBatch(urls, id);
    return batch && batch.status !== 'in_progress' ? batch : undefined;
  }, timeoutMs);
}

/** The parsed result lines of a batch. */
export async function results(urls, batch) {
  const lines = [];
  for (const file of [batch.output_file_id, batch.error_file_id]) {
    if (!file) continue;
    const text = await eventually(`results ${file}`, async () => {
      for (const url of urls) {
        const response = await fetch(`${url}/v1/files/${file}/content`).catch(() => null);
        if (response?.ok) return response.text();
      }
      return undefined;
    });
    lines.push(...text.split('\n').filter(Boolean).map((line) => JSON.parse(line)));
  }
  return lines;
}

/** Sends one streamed chat request. @return text, time to first token, whether it is whole. */
export async function streamChat(url, { model = 'lm', prompt, tokens = 16, headers = {} }) {
  const started = performance.now();
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST', headers,
    body: JSON.stringify({
      model, stream: true, max_tokens: tokens, messages: [{ role: 'user', content: prompt }],
    }),
  });
  if (!response.ok) {
    return { status: response.status, whole: false, error: await response.json() };
  }
  let firstTokenMs;
  let text = '';
  let whole = false;
  let buffer = '';
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    buffer += decoder.decode(bytes, { stream: true });
    let end;
    while ((end = buffer.indexOf('\n\n')) >= 0) {
      const data = buffer.slice(0, end).replace(/^data: /, '');
      buffer = buffer.slice(end + 2);
      if (data === '[DONE]') {
        whole = true;
        continue;
      }
      const event = JSON.parse(data);
      if (event.error) return { status: 200, whole: false, error: event, text };
      firstTokenMs ??= performance.now() - started;
      text += event.choices[0].delta?.content ?? '';
    }
  }
  return { status: 200, whole, text, firstTokenMs, tokens: text.split(' ').length };
}

export function percentile(values, share) {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}
