// Prints what a played day has lost, and why: worth and requests by reason, kind, zone and second from one
// report, or from two side by side; and from the logs of nodes by replica, slot, known load and tenant.
//
//     node scripts/account.mjs --report FILE [--report FILE] [--log FILE]
//
// The first report is the one before a change. Ends with 2 if an option or a file cannot be read.

import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';

import { GROUPINGS, countLosses, readNodeLog } from './account/node_log.mjs';
import { BadInput, readReport } from './account/report.mjs';
import { compareTable } from './account/table.mjs';
import { compareWaits } from './account/wait_table.mjs';

/** Replicas, seconds and tenants are many: only those with the most losses are printed. */
const MOST_ROWS = 20;
const EXIT_BAD_INPUT = 2;

const COUNTS = {
  asked: 'asked', late: 'late', refused: 'refused', failed: 'failed', not_owed: 'not owed', lostWorth: 'worth lost',
};
const LOG_COUNTS = {
  late: 'late', refused: 'refused', failed: 'failed', gone: 'caller gone', sampled: 'sampled', sampledLate: 'sampled, late',
};

function readOptions() {
  try {
    const { values } = parseArgs({ options: { report: { type: 'string', multiple: true, default: [] }, log: { type: 'string' } } });
    if (values.report.length > 2) throw new Error('at most two reports');
    if (values.report.length === 0 && !values.log) throw new Error('no report and no log');
    return values;
  } catch (error) {
    throw new BadInput(`${error.message}\nusage: account.mjs --report FILE [--report FILE] [--log FILE]`);
  }
}

function readFile(name) {
  try {
    return readFileSync(name, 'utf8');
  } catch (error) {
    throw new BadInput(`${name}: ${error.message}`);
  }
}

function printReports(reports) {
  const print = (title, pick, columns) => console.log(compareTable(title, reports.map(pick), columns));
  print('Worth lost by reason, as a share of all requests\' worth',
    (report) => ['late', 'refused', 'failed'].map((reason) => ({ name: reason, lostWorth: report[reason] })), { lostWorth: 'lost' });
  print('Worth lost of the whole figure, by part and price', (report) => [
    ...report.parts, { name: 'all prices', lostWorth: report.prices.reduce((sum, price) => sum + price.lostWorth, 0) },
    { name: 'all lost', lostWorth: 1 - report.worth },
  ], { lostWorth: 'lost' });
  print('Prices', (report) => report.prices.filter((price) => price.amount !== 0), { amount: 'amount', lostWorth: 'worth' });
  print('Requests by kind', (report) => [report.all, ...report.kinds], COUNTS);
  print('Requests by the zone of their callers', (report) => report.zones, COUNTS);
  print('Requests by second', (report) => report.seconds, COUNTS);
}

function printLog(log) {
  console.log('From the logs. Losses are logged whole, but requests over a limit and answers in time for a sample');
  console.log('of the ids only; "sampled" counts the ends of that sample, to compare shares with.\n');
  for (const [name, groupOf] of Object.entries(GROUPINGS)) {
    const groups = countLosses(log, groupOf);
    const shown = groups.slice(0, MOST_ROWS);
    const rest = groups.length > shown.length ? `, the ${shown.length} of ${groups.length} with the most losses` : '';
    console.log(compareTable(`Requests by ${name}${rest}`, [shown], LOG_COUNTS));
  }
  console.log(compareTable('Time to the first byte minus expected wait, in ms, by service and expected wait', [compareWaits(log)],
    { count: 'requests', p10: 'p10', median: 'median', p90: 'p90', firstByte: 'first byte, median' }));
}

try {
  const options = readOptions();
  const reports = options.report.map((name) => readReport(readFile(name), name));
  const log = options.log && readNodeLog(readFile(options.log), options.log);
  if (reports.length > 0) printReports(reports);
  if (log) printLog(log);
} catch (error) {
  if (!(error instanceof BadInput)) throw error;
  console.error(`account: ${error.message}`);
  process.exitCode = EXIT_BAD_INPUT;
}
