// Reads the lines that nodes log about online requests, and counts by any field of theirs what was lost.

import { BadInput } from './report.mjs';

/** `SECOND NODE TIMESTAMP LEVEL online: EVENT id=ID key=value ...`; the second is that of the played day. */
const ONLINE_LINE = /^\s*(-?\d+(?:\.\d+)?) (\S+) \S+ [a-z]+ online: ([a-z_ ]+) (id=.*)$/;
const FIELD = /(\w+)=("[^"]*"|\S+)/g;

/** Why a request was lost, as the logs tell it; `gone` ones were given up by their callers. */
export const LOG_REASONS = ['late', 'refused', 'failed', 'gone'];

/** Ends of a request by the reason under which they count; an answer counts where it was late. */
const REASON_OF_END = new Map([
  ['answered', null],
  ['refused', 'refused'],
  ['over_limit', 'refused'],
  ['failed', 'failed'],
  ['timed_out', 'failed'],
  ['broken_off', 'failed'],
  ['caller_gone', 'gone'],
]);

/**
 * @param text logs of nodes; lines of other kinds are skipped
 * @param place what error messages call it
 * @return {sends, ends}: lists of {second, node, event, fields}
 * @throws BadInput if no line tells of an online request
 */
export function readNodeLog(text, place) {
  const sends = [];
  const ends = [];
  const tenants = new Map();
  for (const line of text.split('\n')) {
    const match = ONLINE_LINE.exec(line);
    if (!match) continue;
    const [, second, node, event, rest] = match;
    const fields = Object.fromEntries([...rest.matchAll(FIELD)].map(([, key, value]) => [key, value.replaceAll('"', '')]));
    const entry = { second: Number(second), node, event, fields };
    if (event === 'sent') sends.push(entry);
    if (fields.tenant) tenants.set(fields.id, fields.tenant);
    if (REASON_OF_END.has(event)) ends.push(entry);
  }
  if (sends.length + ends.length === 0) throw new BadInput(`${place}: no line of a node about an online request`);
  for (const { fields } of ends) fields.tenant ??= tenants.get(fields.id);
  return { sends, ends };
}

/** @return why an end counts as a loss, or null for an answer in time. */
export function reasonOf(end) {
  return end.event === 'answered' && end.fields.late === 'true' ? 'late' : REASON_OF_END.get(end.event);
}

/** @return the ids whose first attempt was logged: a fixed share of all ids, whatever became of them. */
export function sampledIds(log) {
  return new Set(log.sends.filter((send) => send.fields.attempt === '1').map((send) => send.fields.id));
}

/** What a replica's load was believed to be when it was chosen, in classes. */
export function knownLoad({ fields }) {
  const [load, slots] = (fields.load ?? '').split('/').map(Number);
  if (!(slots > 0)) return 'not told';
  if (load === 0) return 'idle';
  if (load < slots / 2) return 'below half';
  if (load < slots) return 'half to full';
  return load === slots ? 'full' : 'beyond full';
}

/** Ways to group the ends of requests; each takes an end and returns the name of its group. */
export const GROUPINGS = {
  second: (end) => String(Math.floor(end.second)),
  replica: ({ fields }) => fields.replica || 'none',
  'own slot': ({ fields }) => fields.ownSlot ?? 'not told',
  'known load': knownLoad,
  tenant: ({ fields }) => fields.tenant ?? 'not told',
};

/**
 * @param groupOf one of GROUPINGS
 * @return groups {name, late, refused, failed, gone, sampled, sampledLate}, those with the most losses first
 */
export function countLosses(log, groupOf) {
  const sampled = sampledIds(log);
  const groups = new Map();
  for (const end of log.ends) {
    const name = groupOf(end);
    if (!groups.has(name)) groups.set(name, { name, late: 0, refused: 0, failed: 0, gone: 0, sampled: 0, sampledLate: 0 });
    const group = groups.get(name);
    const reason = reasonOf(end);
    if (reason) ++group[reason];
    if (sampled.has(end.fields.id)) {
      ++group.sampled;
      if (reason === 'late') ++group.sampledLate;
    }
  }
  const losses = (group) => LOG_REASONS.reduce((sum, reason) => sum + group[reason], 0);
  return [...groups.values()].sort((one, other) => losses(other) - losses(one));
}
