// Compares the wait that a node expected at a replica with the time that really passed to the first byte.

import { sampledIds } from './node_log.mjs';

/** Upper bounds of the classes of expected waits, in milliseconds; as in src/gateway/wait_calibration.hpp. */
const BOUNDS_MS = [0, 50, 100, 200, 400];

function className(expectedMs) {
  const bound = BOUNDS_MS.find((candidate) => expectedMs <= candidate);
  if (bound === undefined) return `over ${BOUNDS_MS.at(-1)} ms`;
  return bound === 0 ? '0 ms' : `up to ${bound} ms`;
}

/** @return the value below which a share of a sorted list lies. */
function quantile(sorted, share) {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/**
 * Takes requests that were sent once, so that the first byte belongs to the wait that was expected, and only
 * ids whose first attempt is always logged: late answers are logged more often than others.
 *
 * @param log from readNodeLog
 * @return rows {name, count, p10, median, p90}: time to the first byte minus expected wait in milliseconds, by class
 *   of the expected wait. The row of no wait shows what a free replica takes by itself.
 */
export function compareWaits(log) {
  const sampled = sampledIds(log);
  const expected = new Map(log.sends.map((send) => [send.fields.id, Number(send.fields.waitMs)]));
  const errors = new Map();
  for (const { event, fields } of log.ends) {
    if (event !== 'answered' || fields.sends !== '1' || !sampled.has(fields.id)) continue;
    const wait = expected.get(fields.id);
    const firstByte = Number(fields.firstByteMs);
    if (!Number.isFinite(wait) || !Number.isFinite(firstByte)) continue;
    const name = className(wait);
    if (!errors.has(name)) errors.set(name, []);
    errors.get(name).push(firstByte - wait);
  }
  const names = [...BOUNDS_MS.map(className), className(Infinity)];
  return names.filter((name) => errors.has(name)).map((name) => {
    const sorted = errors.get(name).sort((one, other) => one - other);
    const [p10, median, p90] = [0.1, 0.5, 0.9].map((share) => quantile(sorted, share));
    return { name, count: sorted.length, p10, median, p90 };
  });
}
