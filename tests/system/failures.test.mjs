// Real processes under kills, freezes and platform faults.

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';

import {
  Cluster, batchInput, createBatch, eventually, getBatch, results, sleep, smallDeployment,
  streamChat, upload, waitForBatch,
} from './cluster.mjs';

let cluster;
let urls;

beforeEach(async () => {
  cluster = new Cluster();
  await cluster.start(smallDeployment(4, 8), { engineArgs: ['--step-us', '3000'] });
  urls = [...cluster.nodes.keys()].map((name) => cluster.url(name));
});

afterEach(() => cluster.stop());

/** Keeps sending streamed requests to `targets` until stopped. */
function onlineLoad(targets, { pauseMs = 30, tokens = 24 } = {}) {
  const answers = [];
  let running = true;
  const loop = (async () => {
    for (let index = 0; running; ++index) {
      answers.push(streamChat(targets[index % targets.length], { prompt: `load ${index}`, tokens })
        .catch((error) => ({ whole: false, error: String(error) })));
      await sleep(pauseMs);
    }
  })();
  return {
    async stop() {
      running = false;
      await loop;
      return Promise.all(answers);
    },
  };
}

function assertExactlyOnce(lines, items) {
  assert.equal(lines.length, items);
  assert.equal(new Set(lines.map((line) => line.custom_id)).size, items);
}

test('a drain under load cuts no request and hands its partitions over', async () => {
  const file = await upload(urls[0], batchInput(600));
  const batch = await createBatch(urls, file, 'drain');
  const load = onlineLoad([urls[0]], { tokens: 48 });
  await sleep(500);
  cluster.nodes.get('node-1').process.signal('SIGTERM');
  const { code } = await cluster.nodes.get('node-1').process.exited;
  const answers = await load.stop();
  assert.equal(code, 0, cluster.nodes.get('node-1').process.log().slice(-2000));
  // Whoever came too late was told so, or found nobody; nobody was cut.
  const cut = answers.filter((answer) => !answer.whole && answer.text !== undefined);
  assert.deepEqual(cut, []);
  const refused = answers.filter((answer) => answer.status === 503);
  assert.ok(refused.every((answer) => answer.error.error.run === 'not_run'));
  const ended = await waitForBatch(urls.slice(1), batch.id);
  assertExactlyOnce(await results(urls.slice(1), ended), 600);
});

test('kill -9 of each node in turn loses and doubles no item', async () => {
  const file = await upload(urls[0], batchInput(1500, { tokens: 24 }));
  const batches = [];
  for (let index = 0; index < 4; ++index) {
    batches.push(await createBatch(urls, file, `kill-${index}`));
  }
  for (const name of cluster.nodes.keys()) {
    await sleep(700);
    await cluster.nodes.get(name).process.end('SIGKILL');
    await sleep(700);
    cluster.startNode(name);
    await eventually(`${name} to be live`, async () =>
      (await fetch(`${cluster.url(name)}/livez`)).ok);
  }
  for (const batch of batches) {
    assertExactlyOnce(await results(urls, await waitForBatch(urls, batch.id)), 1500);
  }
});

test('kill -9 of an engine loses and doubles no item', async () => {
  const file = await upload(urls[0], batchInput(800, { tokens: 24 }));
  const batch = await createBatch(urls, file, 'engine');
  await sleep(400);
  await cluster.engines.get('engine-2').process.end('SIGKILL');
  const load = onlineLoad(urls);
  const ended = await waitForBatch(urls, batch.id);
  const answers = await load.stop();
  assertExactlyOnce(await results(urls, ended), 800);
  assert.ok(answers.every((answer) => answer.whole));
});

test('a frozen owner that wakes up doubles nothing', async () => {
  const file = await upload(urls[0], batchInput(1200, { tokens: 24 }));
  const batches = [];
  for (let index = 0; index < 3; ++index) {
    batches.push(await createBatch(urls, file, `freeze-${index}`));
  }
  await sleep(300);
  cluster.nodes.get('node-2').process.signal('SIGSTOP');
  await sleep(9000);
  cluster.nodes.get('node-2').process.signal('SIGCONT');
  for (const batch of batches) {
    assertExactlyOnce(await results(urls, await waitForBatch(urls, batch.id)), 1200);
  }
});

test('items that must not be repeated run at most once, whoever dies', async () => {
  const file = await upload(urls[0], batchInput(400, { tokens: 24 }));
  const batch = await createBatch(urls, file, 'once', { metadata: { 'dockpoint.repeatable': 'no' } });
  await sleep(400);
  await cluster.nodes.get('node-1').process.end('SIGKILL');
  await cluster.engines.get('engine-1').process.end('SIGKILL');
  const rest = urls.slice(1);
  const lines = await results(rest, await waitForBatch(rest, batch.id));
  assertExactlyOnce(lines, 400);
  const starts = new Map();
  for (const [id, counts] of await cluster.executions()) {
    if (!id.startsWith(batch.id)) continue;
    const item = id.split('-')[1];
    starts.set(item, (starts.get(item) ?? 0) + counts.started);
  }
  assert.ok([...starts.values()].every((count) => count <= 1));
  for (const line of lines.filter((entry) => entry.error)) {
    assert.equal(line.error.type, 'outcome_unknown');
  }
});

test('an online request that must not be repeated runs at most once, resent elsewhere', async () => {
  const headers = { 'x-dockpoint-repeatable': 'no', 'Idempotency-Key': 'text-1' };
  const first = await streamChat(urls[0], { prompt: 'send a text', headers });
  assert.ok(first.whole);
  const again = await streamChat(urls[1], { prompt: 'send a text', headers });
  assert.equal(again.status, 409);
  assert.equal(again.error.error.code, 'already_attempted');
  const concurrent = await Promise.all(urls.concat(urls).map((url) => streamChat(url, {
    prompt: 'another', headers: { ...headers, 'Idempotency-Key': 'text-2' },
  })));
  assert.equal(concurrent.filter((answer) => answer.whole).length, 1);
  await cluster.fault(cluster.logAddress, { down: 1 });
  await sleep(3500);
  const down = await streamChat(urls[0], {
    prompt: 'third', headers: { ...headers, 'Idempotency-Key': 'text-3' },
  });
  assert.equal(down.error.error.run, 'not_run');
  await cluster.fault(cluster.logAddress, { down: 0 });
  await eventually('the refused text to be sent after all', async () =>
    (await streamChat(urls[1], {
      prompt: 'third', headers: { ...headers, 'Idempotency-Key': 'text-3' },
    })).whole);
});

test('online service goes on while the platform is down, and batch recovers', async () => {
  const file = await upload(urls[0], batchInput(600, { tokens: 24 }));
  const batch = await createBatch(urls, file, 'outage');
  await cluster.fault(cluster.logAddress, { lose_answer_percent: 30 });
  await sleep(500);
  await cluster.fault(cluster.logAddress, { down: 1 });
  const load = onlineLoad(urls);
  await sleep(3000);
  const refused = await fetch(`${urls[0]}/v1/batches`, {
    method: 'POST',
    body: JSON.stringify({
      input_file_id: file, endpoint: '/v1/chat/completions', completion_window: '24h',
    }),
  });
  assert.equal(refused.status, 503);
  assert.ok(Number(refused.headers.get('retry-after')) >= 1);
  assert.ok((await load.stop()).every((answer) => answer.whole));
  await cluster.fault(cluster.logAddress, { down: 0 });
  assertExactlyOnce(await results(urls, await waitForBatch(urls, batch.id)), 600);
});

test('a leaving engine gets no new work after a few seconds', async () => {
  const leaving = cluster.engines.get('engine-3');
  await cluster.listMachines([...cluster.engines.values()].map((engine) => ({
    address: engine.address, kind: 'engine',
    state: engine.name === 'engine-3' ? 'leaving' : 'live',
  })));
  await sleep(3000);
  const before = Object.keys(await (await fetch(`http://${leaving.address}/admin/executions`)).json());
  const load = onlineLoad(urls, { pauseMs: 25 });
  const batch = await createBatch(urls, await upload(urls[0], batchInput(200)), 'leaving');
  await waitForBatch(urls, batch.id);
  assert.ok((await load.stop()).every((answer) => answer.whole));
  const after = Object.keys(await (await fetch(`http://${leaving.address}/admin/executions`)).json());
  assert.deepEqual(after, before);
});

test('a cut stream is resumed at the right token, and a lost one ends in an error', async () => {
  for (const engine of cluster.engines.values()) {
    await cluster.fault(engine.address, { cut_stream_after_tokens: 5 });
  }
  const whole = await streamChat(urls[0], { prompt: 'resume me', tokens: 20 });
  assert.ok(whole.whole);
  for (const engine of cluster.engines.values()) {
    await cluster.fault(engine.address, { cut_stream_after_tokens: 0 });
  }
  const reference = await streamChat(urls[1], { prompt: 'resume me', tokens: 20 });
  assert.equal(whole.text, reference.text);

  const long = streamChat(urls[0], { prompt: 'lost', tokens: 400 });
  await sleep(400);
  for (const engine of cluster.engines.values()) engine.process.signal('SIGKILL');
  const lost = await long;
  assert.equal(lost.whole, false);
  assert.equal(lost.error.error.code, 'stream_interrupted');
  assert.equal(lost.error.error.run, 'unknown');
});

test('an answer that belongs to another request reaches nobody', async () => {
  const prompt = 'crossed';
  const body = JSON.stringify({
    model: 'lm', max_tokens: 8, messages: [{ role: 'user', content: prompt }],
  });
  const ask = () => fetch(`${urls[0]}/v1/chat/completions`, { method: 'POST', body });
  const expected = (await (await ask()).json()).choices[0].message.content;
  const all = [...cluster.engines.values()];
  for (const engine of all.slice(1)) await cluster.fault(engine.address, { cross_answers: 1 });
  for (let attempt = 0; attempt < 6; ++attempt) {
    const answer = await (await ask()).json();
    if (answer.choices) assert.equal(answer.choices[0].message.content, expected);
    else assert.equal(answer.error.run, 'unknown');
  }
  await cluster.fault(all[0].address, { cross_answers: 1 });
  assert.equal((await ask()).status >= 500, true);
  const stream = await streamChat(urls[1], { prompt });
  assert.equal(stream.whole, false);
});

test('of racing operators one wins, and the configuration is in force everywhere', async () => {
  const variants = Array.from({ length: 6 }, (_, index) => {
    const variant = structuredClone(cluster.deployment);
    variant.tenants = [{ name: `tenant-${index}`, weight: 1 }];
    return variant;
  });
  const names = [...cluster.nodes.keys()];
  const outcomes = await Promise.allSettled(variants.map((variant, index) =>
    cluster.apply(variant, 1, names[index % names.length], `operator-${index}`)));
  assert.equal(outcomes.filter((outcome) => outcome.status === 'fulfilled').length, 1);
  for (const outcome of outcomes.filter((entry) => entry.status === 'rejected')) {
    assert.equal(outcome.reason.body.error.code, 'revision_conflict');
  }
  await eventually('revision 2 on every node', async () => {
    const shown = await Promise.all(urls.map(async (url) =>
      (await fetch(`${url}/admin/v1/configuration`)).json()));
    return shown.every((entry) => entry.revision === 2 &&
      entry.change_id === shown[0].change_id);
  }, 15000);
});

test('a node restarted while the platform is down takes the newest configuration from its peers',
  async () => {
    await cluster.apply({ ...cluster.deployment, tenants: [{ name: 'x', weight: 2 }] }, 1);
    await cluster.fault(cluster.logAddress, { down: 1 });
    await cluster.nodes.get('node-3').process.end('SIGKILL');
    cluster.startNode('node-3');
    await eventually('revision 2 on the restarted node', async () =>
      (await cluster.metric('node-3', 'dockpoint_configuration_revision')) === 2, 15000);
    assert.ok((await streamChat(urls[2], { prompt: 'hello' })).whole);
  });

test('a job resent through every node is one job, also after its first node died', async () => {
  const file = await upload(urls[0], batchInput(300));
  const first = await createBatch(urls, file, 'same');
  await cluster.nodes.get('node-1').process.end('SIGKILL');
  const again = await Promise.all(urls.slice(1).map((url) => createBatch([url], file, 'same')));
  assert.ok(again.every((batch) => batch.id === first.id));
  const other = await upload(urls[1], batchInput(10));
  const response = await fetch(`${urls[1]}/v1/batches`, {
    method: 'POST', headers: { 'Idempotency-Key': 'same', 'x-dockpoint-tenant': 'default' },
    body: JSON.stringify({
      input_file_id: other, endpoint: '/v1/chat/completions', completion_window: '24h',
    }),
  });
  assert.equal(response.status, 422);
  assertExactlyOnce(await results(urls.slice(1), await waitForBatch(urls.slice(1), first.id)), 300);
  assert.ok(await getBatch(urls.slice(1), first.id));
});
