// The soak's checks of rate limits: what they find, and what they let pass.

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FaultSpans, LimitHistory, refusalsInCalm, windowsOverLimit } from '../platform/soak/tenant_checks.mjs';

const WINDOW = { windowMs: 5000, overage: 0, slack: 0 };
/** 5 requests a second and as many at once: 30 in a window of 5 s. */
const LIMIT = { perSecond: 5, burst: 5 };

function historyOf(...changes) {
  const history = new LimitHistory(WINDOW);
  for (const change of changes) history.change(...change);
  return history;
}
const answered = (sentAt, status = 200, tookMs = 10) => ({ sentAt, answeredAt: sentAt + tookMs, status });
const requestsAt = (count, from, apart, status) => Array.from({ length: count }, (_, index) => answered(from + index * apart, status));

test('a window at its limit passes, and one request more is found', () => {
  const history = historyOf([LIMIT, 0, 0]);
  assert.deepEqual(windowsOverLimit(requestsAt(30, 1000, 100), history), []);
  assert.deepEqual(windowsOverLimit(requestsAt(31, 1000, 100), history), [{ start: 1000, admitted: 31, allowed: 30 }]);
});

test('requests that were refused or got no answer do not count, failed ones do', () => {
  const history = historyOf([LIMIT, 0, 0]);
  for (const status of [0, 401, 429, 503]) {
    assert.deepEqual(windowsOverLimit(requestsAt(100, 0, 10, status), history), []);
  }
  assert.equal(windowsOverLimit(requestsAt(31, 0, 100, 502), history).length, 1);
});

test('requests that were answered after a window may belong to the next one', () => {
  const history = historyOf([LIMIT, 0, 0]);
  const requests = [...requestsAt(30, 0, 100), answered(4000, 200, 1001)];
  assert.deepEqual(windowsOverLimit(requests, history), []);
});

test('overage and slack widen what a window may hold', () => {
  const history = new LimitHistory({ windowMs: 5000, overage: 0.1, slack: 20 });
  history.change(LIMIT, 0, 0);
  assert.equal(history.allowedFrom(0), 53);
});

test('a higher limit counts from its publication, and a lower one only when it is in force everywhere', () => {
  const history = historyOf([LIMIT, 0, 0], [{ perSecond: 10, burst: 10 }, 10000, 12000], [LIMIT, 30000, 32000]);
  assert.equal(history.allowedFrom(4999), 30);
  assert.equal(history.allowedFrom(5001), 60);
  assert.equal(history.allowedFrom(31999), 60);
  assert.equal(history.allowedFrom(32000), 30);
});

test('a refusal counts only where no fault is under way or just over', () => {
  const spans = new FaultSpans();
  const over = spans.begin(10000);
  over(11000);
  const requests = [answered(1000, 429), answered(9995, 429), answered(10500, 429), answered(13999, 429), answered(14001, 429)];
  assert.deepEqual(refusalsInCalm(requests, spans, 3000), { asked: 2, refused: 2 });
});

test('a fault that has not ended is under way', () => {
  const spans = new FaultSpans();
  spans.begin(10000);
  assert.ok(spans.calm(0, 9999, 3000));
  assert.ok(!spans.calm(100000, 100001, 3000));
});
