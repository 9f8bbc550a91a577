// Plays every day of deploy/days on a site and prints a table: kind of trouble, rules broken, credit.
//
// Usage: node scripts/play-days.mjs --bench PROGRAM --site SITE.toml [--jobs N] [--only TEXT]
//        [--why TEXT]
// Ends with 1 if a rule was broken or a day could not be played. A kind of trouble that the site's
// contracts do not open is listed as such.

import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import path from 'node:path';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: {
    bench: { type: 'string' },
    site: { type: 'string' },
    jobs: { type: 'string', default: '4' },
    only: { type: 'string', default: '' },
    why: { type: 'string', default: 'every kind of trouble alone' },
  },
});
if (!values.bench || !values.site) {
  console.error('play.mjs: --bench and --site are needed');
  process.exit(2);
}

const folder = path.join(path.dirname(new URL(import.meta.url).pathname), '../deploy/days');
const days = readdirSync(folder)
  .filter((name) => name.endsWith('.toml') && name.includes(values.only))
  .sort();

/** Plays one day. Resolves to a row of the table. */
function play(day) {
  return new Promise((resolve) => {
    const child = spawn(values.bench, [
      'run', values.site, path.join(folder, day), '--why', values.why, '--jobs', '1',
    ]);
    let text = '';
    child.stdout.on('data', (bytes) => (text += bytes));
    child.stderr.on('data', (bytes) => (text += bytes));
    child.on('close', () => {
      const name = day.replace('.toml', '');
      const row = text.split('\n').find((line) => /^\S+\s+\d+\/\d+\s/.test(line));
      const fields = row ? row.trim().split(/\s+/) : [];
      const broken = /BROKEN: ([^(]*)/.exec(row ?? '');
      resolve({
        name,
        played: Boolean(row),
        closed: /contract \w+ is not open/.test(text),
        broken: broken ? broken[1].trim() : '',
        worth: fields[3] ?? '-',
        served: fields[4] ?? '-',
        text,
      });
    });
  });
}

/** @returns whether a day that the site allows was not played, or broke a rule. */
function isBad(row) {
  return !row.closed && (!row.played || row.broken);
}

const rows = [];
const queue = [...days];
async function worker() {
  for (let day = queue.shift(); day; day = queue.shift()) {
    const row = await play(day);
    rows.push(row);
    if (isBad(row)) {
      console.error(`--- ${row.name}\n${row.text.split('\n').slice(0, 25).join('\n')}`);
    }
  }
}
await Promise.all(Array.from({ length: Number(values.jobs) }, worker));

rows.sort((one, other) => one.name.localeCompare(other.name));
console.log('| day | rules broken | worth | served |\n|---|---|---|---|');
for (const row of rows) {
  const notPlayed = row.closed ? 'not open here' : 'NOT PLAYED';
  const broken = row.played ? row.broken || 'none' : notPlayed;
  console.log(`| ${row.name} | ${broken} | ${row.worth} | ${row.served} |`);
}
const bad = rows.filter(isBad).length;
const closed = rows.filter((row) => row.closed).length;
console.log(`${rows.length - bad - closed} passed, ${bad} failed, ${closed} not open here`);
process.exit(bad ? 1 : 0);
