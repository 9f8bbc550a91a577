// Reads the JSON report of one played day into the losses that it tells of.

/** Why a request was worth less than it could be, as a report counts it; `not_owed` had no claim to an answer. */
export const REASONS = ['late', 'refused', 'failed', 'not_owed'];

/** A report or a log that cannot be read; the message says where and why. */
export class BadInput extends Error {}

function number(object, key, place) {
  if (typeof object?.[key] !== 'number') throw new BadInput(`${place}: "${key}" must be a number`);
  return object[key];
}

function list(object, key, place) {
  if (!Array.isArray(object?.[key])) throw new BadInput(`${place}: "${key}" must be a list`);
  return object[key];
}

/** One row of counts: all requests, one kind, one zone or one window. */
function readGroup(entry, place) {
  if (typeof entry?.name !== 'string') throw new BadInput(`${place}: "name" must be a text`);
  const group = { name: entry.name, asked: number(entry, 'n', place), lostWorth: 1 - number(entry, 'worth', place) };
  for (const reason of REASONS) group[reason] = number(entry, reason, place);
  return group;
}

function readGroups(report, key, place) {
  return list(report, key, place).map((entry, index) => readGroup(entry, `${place}: ${key}[${index}]`));
}

/** Parts come as [name, weight, value]; what a part costs is its weight times what it lacks. */
function readPart(entry, place) {
  const [name, weight, value] = Array.isArray(entry) ? entry : [];
  if (typeof name !== 'string' || typeof weight !== 'number' || typeof value !== 'number') {
    throw new BadInput(`${place} must be [name, weight, value]`);
  }
  return { name, lostWorth: weight * (1 - value) };
}

/** Prices come as [name, amount, worth]. */
function readPrice(entry, place) {
  const [name, amount, worth] = Array.isArray(entry) ? entry : [];
  if (typeof name !== 'string' || typeof amount !== 'number' || typeof worth !== 'number') {
    throw new BadInput(`${place} must be [name, amount, worth]`);
  }
  return { name, amount, lostWorth: worth };
}

/**
 * @param text the JSON of one report
 * @param place what error messages call it, as its file's name
 * @return {worth, late, refused, failed, all, kinds, zones, seconds, parts, prices}; the first three losses are
 *   shares of the worth of all requests, groups hold counts and the share of their own worth that was lost
 * @throws BadInput
 */
export function readReport(text, place) {
  let report;
  try {
    report = JSON.parse(text);
  } catch (error) {
    throw new BadInput(`${place}: not JSON: ${error.message}`);
  }
  const served = number(report, 'served', place);
  const refused = number(report, 'refused', place);
  const failed = number(report, 'failed', place);
  return {
    worth: number(report, 'G', place),
    late: 1 - served - refused - failed,
    refused,
    failed,
    all: readGroup(report.all, `${place}: all`),
    kinds: readGroups(report, 'classes', place),
    zones: readGroups(report, 'zones', place),
    seconds: readGroups(report, 'windows', place),
    parts: list(report, 'parts', place).map((entry, index) => readPart(entry, `${place}: parts[${index}]`)),
    prices: list(report, 'prices', place).map((entry, index) => readPrice(entry, `${place}: prices[${index}]`)),
  };
}
