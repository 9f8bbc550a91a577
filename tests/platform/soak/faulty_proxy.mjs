// A loopback TCP proxy whose connections misbehave: the soak puts one between two programs.

import net from 'node:net';

/** What a proxy may do to its connections, open and new ones. */
export const MODES = ['delay', 'reset', 'one_way', 'silent'];

/** Longest delay of a chunk in the mode `delay`, in milliseconds. */
const LONGEST_DELAY_MS = 400;

/**
 * Passes bytes between callers and one target.
 *
 * - `pass`: unchanged.
 * - `delay`: each chunk waits for up to 0.4 s; chunks of one direction keep their order.
 * - `reset`: open connections are reset, and new ones as soon as they are accepted.
 * - `one_way`: what callers send arrives, answers do not.
 * - `silent`: nothing arrives either way; connections stay open.
 *
 * Bytes that a mode held back are lost: the connections that it touched are reset when it ends.
 */
export class FaultyProxy {
  #mode = 'pass';
  #pairs = new Set();

  /**
   * @param listen {host, port} of the proxy
   * @param target {host, port} that it passes on to
   * @param random () => number from 0 to 1
   */
  constructor(listen, target, random) {
    this.listen = listen;
    this.target = target;
    this.random = random;
    this.server = net.createServer((caller) => this.#accept(caller));
    this.ready = new Promise((resolve, reject) => {
      this.server.on('error', reject);
      this.server.listen(listen.port, listen.host, resolve);
    });
  }

  /** Changes what happens to all connections. @param mode 'pass' or one of MODES */
  set(mode) {
    const lossy = this.#mode === 'one_way' || this.#mode === 'silent';
    this.#mode = mode;
    for (const pair of [...this.#pairs]) {
      if (mode === 'reset' || (lossy && pair.touched)) this.#reset(pair);
    }
  }

  /** The target's process ends: open connections end as `endConnections` says, new ones are refused. */
  stop(inGoodOrder = false) {
    this.endConnections(inGoodOrder);
    this.server.close();
  }

  /**
   * Ends all open connections.
   * @param inGoodOrder whether they are closed (FIN), as a machine does for most processes that end, or reset
   */
  endConnections(inGoodOrder) {
    for (const pair of [...this.#pairs]) {
      if (inGoodOrder) {
        this.#close(pair);
      } else {
        this.#reset(pair);
      }
    }
  }

  /** The target's process has started again. */
  start() {
    this.server.listen(this.listen.port, this.listen.host);
  }

  close() {
    for (const pair of [...this.#pairs]) this.#reset(pair);
    this.server.close();
  }

  #accept(caller) {
    if (this.#mode === 'reset') {
      caller.on('error', () => {});
      caller.resetAndDestroy();
      return;
    }
    const pair = { caller, callee: net.connect(this.target), touched: false };
    this.#pairs.add(pair);
    this.#pass(pair, pair.caller, pair.callee, true);
    this.#pass(pair, pair.callee, pair.caller, false);
  }

  #pass(pair, from, to, towardsTarget) {
    let order = Promise.resolve();
    const later = (action) => {
      const wait = this.#mode === 'delay' ? this.random() * LONGEST_DELAY_MS : 0;
      order = order.then(() => new Promise((resolve) => setTimeout(resolve, wait))).then(action);
    };
    from.on('data', (bytes) => {
      if (this.#loses(towardsTarget)) {
        pair.touched = true;
      } else {
        later(() => to.writable && to.write(bytes));
      }
    });
    from.on('end', () => {
      // An end cannot overtake lost bytes.
      if (this.#loses(towardsTarget) || pair.touched) {
        pair.touched = true;
      } else {
        later(() => to.end());
      }
    });
    from.on('error', () => this.#reset(pair));
    from.on('close', () => {
      if (from.destroyed && to.destroyed) this.#pairs.delete(pair);
    });
  }

  /** @return whether bytes of a direction get lost now */
  #loses(towardsTarget) {
    return this.#mode === 'silent' || (this.#mode === 'one_way' && !towardsTarget);
  }

  /** Closes the caller's connection after what was passed on so far. */
  #close(pair) {
    this.#pairs.delete(pair);
    pair.callee.removeAllListeners('data');
    pair.callee.removeAllListeners('end');
    pair.callee.destroy();
    pair.caller.end();
    pair.caller.resume();
  }

  #reset(pair) {
    this.#pairs.delete(pair);
    pair.caller.resetAndDestroy();
    // A reset waits until the connection stands. With a target that takes none that is minutes, in which
    // the program could not end.
    if (pair.callee.connecting) {
      pair.callee.destroy();
    } else {
      pair.callee.resetAndDestroy();
    }
  }
}
