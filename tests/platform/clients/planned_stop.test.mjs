// A planned stop of one real node under requests on open connections, until the process is gone: each request that
// reached a replica has an answer. One stop a test; the replicas' times change by the seed.
//
// Apart from other load, one at a time: node --test --test-concurrency=1 tests/platform/clients/

import assert from 'node:assert/strict';
import http from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { generator } from '../random_numbers.mjs';
import { NODE_IP, NodeUnderTest, PORTS } from './crowd.mjs';

const REPLICAS = 12;
/** Requests before SIGTERM, so that the usual times of the routes are known in some of the stops. */
const BEFORE_STOP_MS = 1500;
const REQUEST_INTERVAL_MS = 15;
const SERVICE_TIME_INTERVAL_MS = 150;
const MIN_SERVICE_MS = 500;
const MAX_SERVICE_MS = 2900;
const ROUTES = ['quick', 'once'];

/** @return the status of a whole answer, or nothing if there was none. */
function ask(agent, route, id) {
  return new Promise((resolve) => {
    const request = http.request({
      agent, host: NODE_IP, port: PORTS.frontend, method: 'POST', path: `/${route}/${id}`,
      headers: { Host: 'soak.example', 'Api-Key': 'key-of-plain', 'Attempt-Id': id, 'Content-Length': 2 },
    }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
      response.on('close', () => resolve(undefined));
    });
    request.on('error', () => resolve(undefined));
    request.end('hi');
  });
}

/** Sends requests at a steady rate until the process of the node is gone. @return their statuses by id */
async function askUntilGone(node, agent) {
  const statuses = new Map();
  const pending = [];
  let gone = false;
  node.process.exited.then(() => { gone = true; });
  for (let number = 0; !gone; number += 1) {
    const route = ROUTES[number % ROUTES.length];
    const id = `stop-${number}-${route}`;
    pending.push(ask(agent, route, id).then((status) => statuses.set(id, status)));
    await sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(pending);
  return statuses;
}

async function changeServiceTimes(node, random) {
  while (node.process.child.exitCode === null && node.process.child.signalCode === null) {
    const ms = Math.round(MIN_SERVICE_MS + random() * (MAX_SERVICE_MS - MIN_SERVICE_MS));
    await node.platformCall(`/service-time?ms=${ms}`);
    await sleep(SERVICE_TIME_INTERVAL_MS);
  }
}

async function stopUnderLoad(seed) {
  const node = await NodeUnderTest.start({ replicas: REPLICAS, limits: undefined });
  const agent = new http.Agent({ keepAlive: true });
  try {
    const times = changeServiceTimes(node, generator(seed));
    const answers = askUntilGone(node, agent);
    await sleep(BEFORE_STOP_MS);
    node.process.signal('SIGTERM');
    const statuses = await answers;
    await times;
    const { runs } = await node.platformCall('/runs');
    const reached = [...statuses.keys()].filter((id) => id in runs);
    const unanswered = reached.filter((id) => statuses.get(id) === undefined);
    const served = [...statuses.values()].filter((status) => status === 200);
    console.log(`seed=${seed} requests=${statuses.size} reachedReplicas=${reached.length} served=${served.length} ` +
      `unanswered=${unanswered.length}`);
    assert.ok(reached.length > 0);
    assert.deepEqual(unanswered, []);
    const refused = [...statuses].filter(([id, status]) => status === 503 && id.endsWith('once') && id in runs);
    assert.deepEqual(refused, [], 'a request that was refused as not run has not run');
  } finally {
    agent.destroy();
    await node.end();
  }
}

const seeds = (process.env.DOCKPOINT_STOP_SEEDS ?? '1,2,3').split(',').map(Number);
for (const seed of seeds) {
  test(`each request that reached a replica has an answer when the process is gone, seed ${seed}`, () => stopUnderLoad(seed));
}
