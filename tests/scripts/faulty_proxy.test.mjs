// The soak's proxy must let its program end, whatever state its connections are in.

import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import net from 'node:net';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { FaultyProxy } from '../platform/soak/faulty_proxy.mjs';

const PROXY = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../platform/soak/faulty_proxy.mjs');

/** Listens with room for one connection that it has not accepted, and prints its port. */
const TARGET = `
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => console.log(server.address().port));`;

/** Opens connections through a proxy to the port, closes the proxy after a while, and has nothing more to do. */
const DRIVER = `
  import net from 'node:net';
  import { FaultyProxy } from ${JSON.stringify(PROXY)};
  const port = Number(process.argv.at(-1));
  const proxy = new FaultyProxy({ host: '127.0.0.1', port: 0 }, { host: '127.0.0.1', port }, Math.random);
  await proxy.ready;
  const callers = Array.from({ length: 8 }, () => net.connect(proxy.server.address().port, '127.0.0.1'));
  callers.forEach((caller) => caller.on('error', () => {}));
  await new Promise((resolve) => setTimeout(resolve, 500));
  proxy.close();
  callers.forEach((caller) => caller.destroy());
  console.log('closed');`;

/** Time within which a program ends that has nothing more to do, in milliseconds. */
const END_MS = 5000;

test('a program ends although connections of its proxy were never taken by their target', async () => {
  const target = spawn(process.execPath, ['-e', TARGET], { stdio: ['ignore', 'pipe', 'inherit'] });
  try {
    const [port] = await once(target.stdout, 'data');
    target.kill('SIGSTOP');
    const driver = spawn(process.execPath, ['--input-type=module', '-e', DRIVER, '--', String(port).trim()],
      { stdio: ['ignore', 'pipe', 'inherit'] });
    try {
      const [said] = await once(driver.stdout, 'data');
      assert.equal(String(said).trim(), 'closed');
      const ended = await Promise.race([
        once(driver, 'exit').then(() => true),
        new Promise((resolve) => { setTimeout(() => resolve(false), END_MS).unref(); }),
      ]);
      assert.ok(ended, `still running ${END_MS} ms after its proxy was closed`);
    } finally {
      driver.kill('SIGKILL');
    }
  } finally {
    target.kill('SIGKILL');
  }
});

// Otherwise an answer that ends with its connection seems whole though its last bytes were lost.
test('an end behind lost bytes does not arrive, and the connection is reset when the mode ends', async () => {
  const target = net.createServer((socket) => socket.end('answer'));
  target.listen(0, '127.0.0.1');
  await once(target, 'listening');
  const proxy = new FaultyProxy({ host: '127.0.0.1', port: 0 }, { host: '127.0.0.1', port: target.address().port }, Math.random);
  await proxy.ready;
  proxy.set('one_way');
  const caller = net.connect(proxy.server.address().port, '127.0.0.1');
  let ended = false;
  caller.on('data', () => {});
  caller.on('end', () => { ended = true; });
  await new Promise((resolve) => { setTimeout(resolve, 300); });
  proxy.set('pass');
  const [error] = await once(caller, 'error');
  assert.equal(error.code, 'ECONNRESET');
  assert.equal(ended, false);
  proxy.close();
  target.close();
});
