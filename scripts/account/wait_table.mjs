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

const CLASSES = [...BOUNDS_MS.map(className), className(Infinity)];

/** @return {service, expected, firstByte} of a request that was answered, in milliseconds; or null if a line is missing. */
function compareRequest(end, expectedWaits) {
  const expected = expectedWaits.get(end.fields.id);
  const firstByte = Number(end.fields.firstByteMs);
  if (!Number.isFinite(expected) || !Number.isFinite(firstByte)) return null;
  return { service: end.fields.service, expected, firstByte };
}

function summarize(name, requests) {
  const errors = requests.map(({ expected, firstByte }) => firstByte - expected).sort((one, other) => one - other);
  const firstBytes = requests.map(({ firstByte }) => firstByte).sort((one, other) => one - other);
  return {
    name, count: requests.length, p10: quantile(errors, 0.1), median: quantile(errors, 0.5), p90: quantile(errors, 0.9),
    firstByte: quantile(firstBytes, 0.5),
  };
}

/**
 * Takes requests that were sent once, so that the first byte belongs to the wait that was expected, and only
 * ids whose first attempt is always logged: late answers are logged more often than others.
 *
 * @param log from readNodeLog
 * @return rows {name, count, p10, median, p90, firstByte}: time to the first byte minus expected wait in
 *   milliseconds, and the median time to the first byte, by service and class of the expected wait. The row of no
 *   wait shows what a free replica takes by itself.
 */
export function compareWaits(log) {
  const sampled = sampledIds(log);
  const expectedWaits = new Map(log.sends.map((send) => [send.fields.id, Number(send.fields.waitMs)]));
  const requests = log.ends
    .filter(({ event, fields }) => event === 'answered' && fields.sends === '1' && sampled.has(fields.id))
    .map((end) => compareRequest(end, expectedWaits))
    .filter((request) => request !== null);
  const services = [...new Set(requests.map(({ service }) => service))].sort();
  return services.flatMap((service) => CLASSES.flatMap((name) => {
    const members = requests.filter((request) => request.service === service && className(request.expected) === name);
    return members.length > 0 ? [summarize(`${service}, ${name}`, members)] : [];
  }));
}
