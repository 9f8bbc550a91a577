// The account of a played day: reports, logs, comparison and bad input.

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { GROUPINGS, countLosses, readNodeLog } from '../../scripts/account/node_log.mjs';
import { BadInput, readReport } from '../../scripts/account/report.mjs';
import { compareTable } from '../../scripts/account/table.mjs';
import { compareWaits } from '../../scripts/account/wait_table.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));
const PROGRAM = path.resolve(HERE, '../../scripts/account.mjs');
const fixture = (name) => path.join(HERE, 'fixtures', name);
const text = (name) => readFileSync(fixture(name), 'utf8');
const log = () => readNodeLog(text('nodes.log'), 'nodes.log');
const run = (...options) => spawnSync(process.execPath, [PROGRAM, ...options], { encoding: 'utf8' });
const near = (value, expected) => assert.ok(Math.abs(value - expected) < 1e-9, `${value} instead of ${expected}`);

/** @return the cells of the first line after `title` that begins with `name`. */
function row(output, title, name) {
  const lines = output.slice(output.indexOf(title)).split('\n');
  return lines.find((line) => line.startsWith(`${name}  `)).trim().split(/ {2,}/);
}

test('a report tells the worth lost by reason, part and price', () => {
  const report = readReport(text('before.json'), 'before.json');
  near(report.late, 0.1);
  near(report.refused, 0.05);
  near(report.failed, 0.05);
  near(report.parts[1].lostWorth, 0.15);
  assert.deepEqual(report.prices[0], { name: 'cloud calls', amount: 100, lostWorth: 0.05 });
});

test('a report tells the requests lost by kind, zone and second', () => {
  const report = readReport(text('before.json'), 'before.json');
  near(report.kinds[0].lostWorth, 0.25);
  assert.equal(report.kinds[0].late, 20);
  assert.equal(report.zones[0].not_owed, 2);
  assert.deepEqual(report.seconds.map(({ name, failed }) => [name, failed]), [['0', 0], ['2', 8]]);
});

test('a report without a member is refused by its place', () => {
  const report = JSON.parse(text('before.json'));
  delete report.classes[1].late;
  assert.throws(() => readReport(JSON.stringify(report), 'x.json'),
    (error) => error instanceof BadInput && error.message === 'x.json: classes[1]: "late" must be a number');
});

test('reports that are no objects, and parts of another form, are refused', () => {
  for (const bad of ['', '7', 'null', '[]', '{}']) {
    assert.throws(() => readReport(bad, 'x.json'), BadInput);
  }
  const report = JSON.parse(text('before.json'));
  assert.throws(() => readReport(JSON.stringify({ ...report, parts: [['whole day', '0.4', 1]] }), 'x.json'), BadInput);
  assert.throws(() => readReport(JSON.stringify({ ...report, prices: [null] }), 'x.json'), BadInput);
  assert.throws(() => readReport(JSON.stringify({ ...report, all: null }), 'x.json'), BadInput);
});

test('logs count losses by replica, each under one reason', () => {
  const groups = countLosses(log(), GROUPINGS.replica);
  const counts = ({ name, late, refused, failed, gone }) => [name, late, refused, failed, gone];
  assert.deepEqual(groups.map(counts).sort(), [['i-1', 2, 0, 0, 0], ['i-2', 0, 0, 1, 1], ['none', 0, 2, 0, 0]]);
});

test('shares are taken from requests whose first attempt is logged', () => {
  const [first] = countLosses(log(), GROUPINGS.replica).filter(({ name }) => name === 'i-1');
  assert.equal(first.sampled, 2);
  assert.equal(first.sampledLate, 1);
});

test('logs count losses by own slot, known load, tenant and second', () => {
  const late = (grouping) => Object.fromEntries(countLosses(log(), GROUPINGS[grouping]).map((group) => [group.name, group.late]));
  assert.deepEqual(late('own slot'), { true: 0, false: 2 });
  assert.deepEqual(late('known load'), {
    idle: 0, 'below half': 0, 'half to full': 0, full: 1, 'beyond full': 1, 'not told': 0,
  });
  const refused = Object.fromEntries(countLosses(log(), GROUPINGS.tenant).map((group) => [group.name, group.refused]));
  assert.deepEqual(refused, { clinic: 1, 'not told': 1 });
  assert.deepEqual(late('second'), { 0: 0, 1: 2, 2: 0 });
});

test('waits are compared for requests that are logged whatever became of them', () => {
  assert.deepEqual(compareWaits(log()), [
    { name: 'lm, 0 ms', count: 1, p10: 40, median: 40, p90: 40, firstByte: 40 },
    { name: 'lm, up to 200 ms', count: 1, p10: 380, median: 380, p90: 380, firstByte: 500 },
  ]);
});

test('a log without a request is refused', () => {
  assert.throws(() => readNodeLog('nothing here\n', 'x.log'), BadInput);
});

test('groups of two reports are matched by name', () => {
  const before = [{ name: 'one', late: 3 }, { name: 'gone', late: 1 }];
  const after = [{ name: 'one', late: 1 }, { name: 'new', late: 2 }];
  const output = compareTable('T', [before, after], { late: 'late' });
  assert.deepEqual(row(output, 'T', 'one'), ['one', '3', '1', '-2']);
  assert.deepEqual(row(output, 'T', 'gone'), ['gone', '1', '-', '-']);
  assert.deepEqual(row(output, 'T', 'new'), ['new', '-', '2', '-']);
});

test('the program prints one report, and logs beside it', () => {
  const { status, stdout, stderr } = run('--report', fixture('before.json'), '--log', fixture('nodes.log'));
  assert.equal(stderr, '');
  assert.equal(status, 0);
  assert.deepEqual(row(stdout, 'Worth lost by reason', 'late'), ['late', '0.1000']);
  assert.deepEqual(row(stdout, 'Requests by kind', 'chat'), ['chat', '150', '20', '8', '6', '1', '0.2500']);
  assert.deepEqual(row(stdout, 'Requests by replica', 'i-1'), ['i-1', '2', '0', '0', '0', '2', '1']);
});

test('the program prints two reports before, after and as a difference', () => {
  const { status, stdout } = run('--report', fixture('before.json'), '--report', fixture('after.json'));
  assert.equal(status, 0);
  assert.deepEqual(row(stdout, 'Worth lost by reason', 'failed'), ['failed', '0.0500', '0', '-0.0500']);
  assert.deepEqual(row(stdout, 'Requests by kind', 'chat').slice(4, 7), ['20', '10', '-10']);
  assert.deepEqual(row(stdout, 'Prices', 'cloud calls').slice(0, 4), ['cloud calls', '100', '90', '-10']);
});

test('the program ends with an error on bad input', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'account-test-'));
  try {
    const broken = path.join(folder, 'broken.json');
    writeFileSync(broken, '{"G": 1');
    const report = fixture('before.json');
    const cases = [[], ['--unknown'], ['--report', broken], ['--report', path.join(folder, 'none.json')],
      ['--log', broken], ['--report', report, '--report', report, '--report', report]];
    for (const options of cases) {
      const { status, stdout, stderr } = run(...options);
      assert.equal(status, 2, options.join(' '));
      assert.equal(stdout, '');
      assert.match(stderr, /^account: \S/);
      assert.doesNotMatch(stderr, /\n +at /);
    }
  } finally {
    rmSync(folder, { recursive: true });
  }
});
