// A request that crashes engines: the stand-in's own behaviour.

import assert from 'node:assert/strict';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';

import { ManagedProcess, eventually, freePort } from './cluster.mjs';

const CRASH_EXIT_CODE = 70;

const ask = (address, prompt) => fetch(`http://${address}/v1/completions`, {
  method: 'POST', headers: { 'Content-Type': 'application/json' },
  body: JSON.stringify({ model: 'lm', max_tokens: 2, prompt }),
});

test('a prompt that crashes an engine ends its process, and others do not', async () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'dockpoint-crash-'));
  const address = `127.0.0.1:${await freePort()}`;
  const engine = new ManagedProcess('engine', 'dockpoint-emulator',
    ['engine', '--listen', address, '--crash-on', 'query of death'], folder);
  await eventually('the engine', async () => (await ask(address, 'hello')).ok);
  await assert.rejects(ask(address, 'a query of death'));
  const { code } = await engine.exited;
  assert.equal(code, CRASH_EXIT_CODE);
});
