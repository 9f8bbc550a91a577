// Checks of the tenants' rate limits from what callers see: when a request was sent, when its answer came
// and what it was. Free of I/O and clocks; times are milliseconds.

/** Spans of time in which a fault was under way. */
export class FaultSpans {
  #spans = [];

  /** A fault begins. @return a function to call when it is over */
  begin(now) {
    const span = { from: now, to: Infinity };
    this.#spans.push(span);
    return (end) => { span.to = end; };
  }

  /** @return whether no fault was under way between two times, nor for `before` ahead of them */
  calm(from, to, before) {
    return this.#spans.every((span) => span.to < from - before || span.from > to);
  }
}

/** The limits of one tenant over time. */
export class LimitHistory {
  #limits = [];

  /**
   * @param windowMs length of the windows that limits are judged over
   * @param overage share of the limit that a window may exceed it by
   * @param slack requests on top of that
   */
  constructor({ windowMs, overage, slack }) {
    Object.assign(this, { windowMs, overage, slack });
  }

  /**
   * Another limit holds.
   * @param limit {perSecond, burst}
   * @param publishedAt before which no node can have known it
   * @param inForceAt by when every node keeps to it, and to none before it
   */
  change(limit, publishedAt, inForceAt) {
    const last = this.#limits.at(-1);
    if (last) last.until = inForceAt;
    this.#limits.push({ ...limit, from: publishedAt, until: Infinity });
  }

  /** @return most requests that all nodes together may admit in the window that begins at a time */
  allowedFrom(start) {
    const possible = this.#limits.filter(({ from, until }) => from < start + this.windowMs && until > start);
    const most = Math.max(...possible.map(({ perSecond, burst }) => (perSecond * this.windowMs) / 1000 + burst));
    return most * (1 + this.overage) + this.slack;
  }
}

/**
 * Counts only requests whose sending and answer both lie in a window: those were admitted there for certain.
 *
 * @param requests list of {sentAt, answeredAt, status}; those that no node refused count
 * @param history LimitHistory of their tenant
 * @return the windows with more requests than allowed: {start, admitted, allowed}
 */
export function windowsOverLimit(requests, history) {
  const admitted = requests.filter(({ status }) => ![0, 401, 429, 503].includes(status));
  return admitted.flatMap(({ sentAt: start }) => {
    const end = start + history.windowMs;
    const within = admitted.filter(({ sentAt, answeredAt }) => sentAt >= start && answeredAt <= end).length;
    const allowed = history.allowedFrom(start);
    return within > allowed ? [{ start, admitted: within, allowed }] : [];
  });
}

/**
 * @param requests list of {sentAt, answeredAt, status}
 * @param spans FaultSpans
 * @param settleMs a fault counts for so long after its end
 * @return {asked, refused} in calm times; refused are the answers 429
 */
export function refusalsInCalm(requests, spans, settleMs) {
  const calm = requests.filter(({ sentAt, answeredAt }) => spans.calm(sentAt, answeredAt, settleMs));
  return { asked: calm.length, refused: calm.filter(({ status }) => status === 429).length };
}
