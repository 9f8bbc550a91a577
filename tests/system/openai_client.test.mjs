// A client library that knows nothing of dockpoint works by base URL alone.

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';

import OpenAI, { toFile } from 'openai';

import { Cluster, batchInput, smallDeployment, sleep } from './cluster.mjs';

const cluster = new Cluster();
let client;

before(async () => {
  await cluster.start(smallDeployment());
  client = new OpenAI({
    baseURL: `${cluster.url('node-2')}/v1`, apiKey: 'unused', organization: 'clinics',
  });
});

after(() => cluster.stop());

test('lists and retrieves models', async () => {
  const models = [];
  for await (const model of client.models.list()) models.push(model.id);
  assert.deepEqual(models, ['lm']);
  assert.equal((await client.models.retrieve('lm')).id, 'lm');
  await assert.rejects(client.models.retrieve('other'), (error) => error.status === 404);
});

test('completes a chat and a text', async () => {
  const chat = await client.chat.completions.create({
    model: 'lm', max_tokens: 5, messages: [{ role: 'user', content: 'hello' }],
  });
  assert.equal(chat.choices[0].message.content.split(' ').length, 5);
  const text = await client.completions.create({ model: 'lm', max_tokens: 3, prompt: 'hello' });
  assert.equal(text.choices[0].text.split(' ').length, 3);
});

test('streams the same tokens that a plain request gives', async () => {
  const body = { model: 'lm', max_tokens: 12, messages: [{ role: 'user', content: 'stream' }] };
  const plain = await client.chat.completions.create(body);
  const stream = await client.chat.completions.create({ ...body, stream: true });
  let text = '';
  let events = 0;
  for await (const event of stream) {
    text += event.choices[0].delta.content;
    ++events;
  }
  assert.equal(events, 12);
  assert.equal(text, plain.choices[0].message.content);
});

test('an unknown model is an error that the library knows', async () => {
  await assert.rejects(
    client.chat.completions.create({ model: 'x', messages: [{ role: 'user', content: 'a' }] }),
    (error) => error instanceof OpenAI.NotFoundError && error.code === 'unknown_model');
});

test('runs a batch from upload to results', async () => {
  const file = await client.files.create({
    purpose: 'batch', file: await toFile(Buffer.from(batchInput(30)), 'input.jsonl'),
  });
  assert.equal(file.purpose, 'batch');
  let batch = await client.batches.create({
    input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h',
    metadata: { purpose: 'reminders' },
  });
  assert.equal(batch.request_counts.total, 30);
  for (let poll = 0; poll < 400 && batch.status === 'in_progress'; ++poll) {
    await sleep(50);
    batch = await client.batches.retrieve(batch.id);
  }
  assert.equal(batch.status, 'completed');
  assert.equal(batch.metadata.purpose, 'reminders');
  const text = await (await client.files.content(batch.output_file_id)).text();
  const lines = text.trim().split('\n').map((line) => JSON.parse(line));
  assert.equal(new Set(lines.map((line) => line.custom_id)).size, 30);
  assert.ok(lines.every((line) => line.response.status_code === 200));
  const input = await (await client.files.content(file.id)).text();
  assert.equal(input, batchInput(30));
  const listed = [];
  for await (const entry of client.batches.list()) listed.push(entry.id);
  assert.ok(listed.includes(batch.id));
});

/** Submits a few items and waits until all have run. */
async function runSmallBatch(items) {
  const file = await client.files.create({
    purpose: 'batch', file: await toFile(Buffer.from(batchInput(items)), 'small.jsonl'),
  });
  let batch = await client.batches.create({
    input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h',
  });
  while (batch.status === 'in_progress') {
    await sleep(50);
    batch = await client.batches.retrieve(batch.id);
  }
  assert.equal(batch.status, 'completed');
}

/** Waits until every node, the owner of the batch among them, knows that it is cancelled. */
async function cancelledEverywhere(id) {
  for (const name of ['node-1', 'node-2', 'node-3']) {
    const node = new OpenAI({
      baseURL: `${cluster.url(name)}/v1`, apiKey: 'unused', organization: 'clinics',
    });
    while ((await node.batches.retrieve(id)).status !== 'cancelled') await sleep(50);
  }
}

test('cancels a batch, which then stops', async () => {
  const file = await client.files.create({
    purpose: 'batch', file: await toFile(Buffer.from(batchInput(3000, { tokens: 64 })), 'a.jsonl'),
  });
  const batch = await client.batches.create({
    input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h',
  });
  const cancelled = await client.batches.cancel(batch.id);
  assert.equal(cancelled.status, 'cancelled');
  // Not a pause of fixed length: with a sanitizer the owner may learn of it later than any. What it
  // had sent before it knew has reached the engines once items sent afterwards have run.
  await cancelledEverywhere(batch.id);
  await runSmallBatch(5);
  const before = (await client.batches.retrieve(batch.id)).request_counts;
  const started = [...(await cluster.executions()).keys()].filter((id) => id.startsWith(batch.id));
  await sleep(700);
  assert.deepEqual((await client.batches.retrieve(batch.id)).request_counts, before);
  const later = [...(await cluster.executions()).keys()].filter((id) => id.startsWith(batch.id));
  assert.equal(later.length, started.length);
});
