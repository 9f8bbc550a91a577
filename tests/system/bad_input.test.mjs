// Bad input gets a clear error that names the place, and loses nothing.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, test } from 'node:test';

import { BINARIES, Cluster, SOURCE, batchInput, smallDeployment, streamChat, upload } from './cluster.mjs';

const cluster = new Cluster();
let url;

before(async () => {
  await cluster.start(smallDeployment(1), { nodes: 1 });
  url = cluster.url('node-1');
});

after(() => cluster.stop());

const run = (program, ...args) =>
  spawnSync(path.join(BINARIES, program), args, { encoding: 'utf8', timeout: 20000 });

test('each program answers --help and --version and refuses unknown options', () => {
  for (const program of ['dockpointd', 'dockpoint', 'dockpoint-emulator', 'dockpoint-sim',
    'dockpoint-bench']) {
    const help = run(program, '--help');
    assert.equal(help.status, 0, program);
    assert.match(help.stdout, /Usage: /);
    assert.match(run(program, '--version').stdout, /^\d+\.\d+\.\d+\n$/);
    assert.equal(run(program, '--no-such-option').status, 2, program);
  }
});

test('docs/COMMANDS.md lists the options that each program prints, and no others', () => {
  const page = readFileSync(path.join(SOURCE, 'docs', 'COMMANDS.md'), 'utf8');
  for (const section of page.split('\n## ').slice(1)) {
    const program = section.slice(0, section.indexOf('\n'));
    const printed = run(program, '--help').stdout.split('Options:\n')[1].split('\n')
      .map((line) => line.match(/^  (--[\w-]+)/)?.[1])
      .filter((option) => option && option !== '--help' && option !== '--version');
    const listed = [...section.matchAll(/^\| `(--[\w-]+)/gm)].map((match) => match[1]);
    assert.deepEqual(listed, printed, program);
  }
  assert.equal(page.split('\n## ').length, 6);
});

test('--check-settings prints what is in force and names what is wrong', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'dockpoint-settings-'));
  const file = path.join(folder, 'node.json');
  const settings = {
    node: { name: 'a', zone: 'z' }, listen: { api: '127.0.0.1:1', peer: '127.0.0.1:2' },
    platform: { log: '127.0.0.1:3', machines: '127.0.0.1:4' },
  };
  writeFileSync(file, JSON.stringify(settings));
  const good = run('dockpointd', '--settings', file, '--check-settings', '--threads-batch', '7');
  assert.equal(good.status, 0);
  assert.match(good.stdout, /^threads\.batch = 7$/m);
  settings.listen.peer = '127.0.0.1:1';
  writeFileSync(file, JSON.stringify(settings));
  const bad = run('dockpointd', '--settings', file, '--check-settings');
  assert.equal(bad.status, 3);
  assert.ok(bad.stderr.includes(file) && bad.stderr.includes('listen.peer'), bad.stderr);
  rmSync(folder, { recursive: true });
});

const chat = { model: 'lm', messages: [{ role: 'user', content: 'a' }] };
const malformed = [
  ['no JSON', 'hello', {}, 400, 'malformed_body', undefined],
  ['an array', '[]', {}, 400, 'malformed_body', undefined],
  ['deep JSON', `{"a":${'['.repeat(500)}${']'.repeat(500)}}`, {}, 400, 'malformed_body', undefined],
  ['bad UTF-8', Buffer.from([0x7b, 0x22, 0x61, 0x22, 0x3a, 0x22, 0xff, 0x22, 0x7d]), {}, 400,
    'malformed_body', undefined],
  ['no model', JSON.stringify({ messages: chat.messages }), {}, 400, 'missing_field', 'model'],
  ['no messages', JSON.stringify({ model: 'lm' }), {}, 400, 'invalid_field', 'messages'],
  ['a message without role', JSON.stringify({ model: 'lm', messages: [{ content: 'a' }] }), {}, 400,
    'missing_field', 'messages[0].role'],
  ['a wrong type', JSON.stringify({ ...chat, stream: 'yes' }), {}, 400, 'invalid_field', 'stream'],
  ['a number out of range', JSON.stringify({ ...chat, max_tokens: 0 }), {}, 400, 'invalid_field',
    'max_tokens'],
  ['an unknown model', JSON.stringify({ ...chat, model: 'x' }), {}, 404, 'unknown_model', undefined],
  ['a bad deadline', JSON.stringify(chat), { 'x-dockpoint-deadline-ms': 'soon' }, 400,
    'invalid_field', 'x-dockpoint-deadline-ms'],
  ['a bad repeatable mark', JSON.stringify(chat), { 'x-dockpoint-repeatable': 'maybe' }, 400,
    'invalid_field', 'x-dockpoint-repeatable'],
  ['a bad tenant', JSON.stringify(chat), { 'x-dockpoint-tenant': 'two words' }, 400,
    'invalid_field', 'x-dockpoint-tenant'],
  ['an oversize body', JSON.stringify({ ...chat, pad: 'x'.repeat(5_000_000) }), {}, 413,
    'body_too_large', undefined],
];

for (const [what, body, headers, status, code, param] of malformed) {
  test(`a request with ${what} is refused as not run`, async () => {
    const response = await fetch(`${url}/v1/chat/completions`, { method: 'POST', body, headers });
    const { error } = await response.json();
    assert.equal(response.status, status);
    assert.equal(error.code, code);
    assert.equal(error.run, 'not_run');
    assert.equal(error.param, param);
  });
}

test('unknown paths and methods are told apart', async () => {
  assert.equal((await fetch(`${url}/v1/nothing`)).status, 404);
  assert.equal((await fetch(`${url}/v1/chat/completions`)).status, 405);
  assert.equal((await fetch(`${url}/v1/batches/batch_0_unknown`)).status, 404);
  assert.equal((await fetch(`${url}/v1/batches/nonsense`)).status, 404);
  assert.equal((await fetch(`${url}/v1/files/file-1-99`)).status, 404);
});

test('a bad batch file is refused with its line', async () => {
  const lines = batchInput(3).trim().split('\n');
  const faults = [
    ['', /no items/],
    [`${lines[0]}\nnot json\n`, /line 2/],
    [`${lines[0]}\n${lines[0]}\n`, /line 2.*custom_id/],
    [`${lines[0]}\n${lines[1].replace('"lm"', '"other"')}\n`, /line 2.*same model/],
    [lines[0].replace('"POST"', '"GET"'), /line 1.*method/],
    [lines[0].replace('"max_tokens":16', '"stream":true'), /line 1.*stream/],
  ];
  for (const [text, message] of faults) await assert.rejects(upload(url, text), message);
});

test('a bad batch is refused with its field', async () => {
  const good = {
    input_file_id: await upload(url, batchInput(2)), endpoint: '/v1/chat/completions',
    completion_window: '24h',
  };
  const faults = [
    [{ ...good, input_file_id: undefined }, 'input_file_id'],
    [{ ...good, endpoint: '/v1/completions' }, 'endpoint'],
    [{ ...good, completion_window: 'soon' }, 'completion_window'],
    [{ ...good, metadata: { 'dockpoint.priority': '101' } }, 'metadata.dockpoint.priority'],
    [{ ...good, metadata: { 'dockpoint.selector': '{"zone":1}' } },
      'metadata.dockpoint.selector.zone'],
  ];
  for (const [body, param] of faults) {
    const response = await fetch(`${url}/v1/batches`, { method: 'POST', body: JSON.stringify(body) });
    const { error } = await response.json();
    assert.ok(response.status >= 400 && response.status < 500, JSON.stringify(error));
    assert.equal(error.param, param);
  }
});

test('a bad configuration is refused with its place and the one in force stays', async () => {
  const broken = structuredClone(cluster.deployment);
  broken.engines[0].slots = 0;
  await assert.rejects(cluster.apply(broken, 1), /engines\[0\]\.slots/);
  await assert.rejects(cluster.apply(cluster.deployment, 0), /made from revision 0/);
  const shown = await (await fetch(`${url}/admin/v1/configuration`)).json();
  assert.equal(shown.revision, 1);
});

test('after all that a good request still works', async () => {
  assert.ok((await streamChat(url, { prompt: 'still there?' })).whole);
});
