// Starts three nodes, the stand-ins and the relay deployment, sends online requests and a batch
// job, and prints what happened. Exits 0 only if nothing was lost or doubled.

import {
  Cluster, batchInput, createBatch, loadDeployment, percentile, results, sleep, streamChat, upload,
  waitForBatch,
} from '../tests/system/cluster.mjs';

const ONLINE_REQUESTS = 120;
const BATCH_ITEMS = 240;
const PAUSE_MS = 25;

const cluster = new Cluster();
let failed = true;
try {
  console.log('Starting 3 nodes, 15 engines, the log and the machine list ...');
  await cluster.start(loadDeployment('relay'), { zones: ['glk-det', 'glk-cle', 'glk-mke'] });
  const urls = [...cluster.nodes.keys()].map((name) => cluster.url(name));

  const one = await streamChat(urls[0], { model: 'msg-lm', prompt: 'Say hello', tokens: 8 });
  console.log(`A streamed answer: ${one.text}`);

  const fileId = await upload(urls[0], batchInput(BATCH_ITEMS, { model: 'msg-lm', tokens: 32 }));
  const created = await createBatch(urls, fileId, 'demo');
  const again = await createBatch([urls[2]], fileId, 'demo');

  const online = [];
  for (let index = 0; index < ONLINE_REQUESTS; ++index) {
    const model = index % 6 === 0 ? 'relay-api' : 'msg-lm';
    online.push(streamChat(urls[index % urls.length], { model, prompt: `Reply ${index}` }));
    await sleep(PAUSE_MS);
  }
  const answers = await Promise.all(online);
  const batch = await waitForBatch(urls, created.id);
  const lines = await results(urls, batch);

  const distinct = new Set(lines.map((line) => line.custom_id));
  const whole = answers.filter((answer) => answer.whole && answer.tokens === 16).length;
  const times = answers.map((answer) => answer.firstTokenMs).filter((time) => time !== undefined);
  const lost = BATCH_ITEMS - distinct.size;
  const doubled = lines.length - distinct.size;
  console.log(`
                          online     batch
  sent                    ${String(ONLINE_REQUESTS).padStart(6)}    ${String(BATCH_ITEMS).padStart(6)}
  answered whole          ${String(whole).padStart(6)}    ${String(distinct.size).padStart(6)}
  lost                    ${String(ONLINE_REQUESTS - whole).padStart(6)}    ${String(lost).padStart(6)}
  doubled                      -    ${String(doubled).padStart(6)}
  first token, median     ${percentile(times, 0.5).toFixed(1).padStart(6)} ms
  first token, p99        ${percentile(times, 0.99).toFixed(1).padStart(6)} ms
  job resent under its key: ${again.id === created.id ? 'the same job' : 'A SECOND JOB'}
`);
  failed = whole !== ONLINE_REQUESTS || lost !== 0 || doubled !== 0 || again.id !== created.id;
} catch (error) {
  console.error(error);
} finally {
  await cluster.stop();
}
console.log(failed ? 'The demo failed.' : 'Nothing was lost or doubled.');
process.exit(failed ? 1 : 0);
