#pragma once

#include <cstddef>
#include <random>

#include "dockpoint/core/time.hpp"

/// Derives wait times, timeouts and backoff from the bound on staleness.
///
/// Every node must act on a record that the log has confirmed (a configuration, a draining replica)
/// within a bound. A node learns of it by a long-poll read. Such a read can be lost silently: the
/// log or the connection stops answering, and no answer arrives on that connection even after the
/// log answers other calls again. The node detects this only by the read's timeout, so the wait,
/// the timeout, the backoff after the failure and the answer to the next read must fit into the
/// bound together:
///
///     following: wait + read limit + first pause + answer + reserve <= bound
///     asking:    read limit        + longest pause + answer + reserve <= bound
///
/// A node that follows uses long polls, which cost the log one call per wait when idle. After a
/// failure it asks: its reads do not wait, and a call whose answer would come too late is
/// abandoned.
///
/// Where many nodes follow the same partition and gossip their positions, the node whose read ends
/// first informs the others. Each node then waits longer, with jitter, so that the number of calls
/// does not grow with the fleet while some read still ends as early as a lone node's would.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks.
class FreshnessBudget {
 public:
  /// Shorter bounds cannot be met: the wait would be as short as the delay of the event loop's
  /// timers.
  static constexpr Duration kShortestBound = std::chrono::milliseconds(500);

  /// @param bound longest time from a record's confirmation until every node acts on it.
  explicit FreshnessBudget(Duration bound) : bound_(bound) {}

  Duration bound() const { return bound_; }
  /// Margin for late timers and a slow processor: two ticks of 50 ms and as much processing time at
  /// the usual bound of 2 s.
  Duration reserve() const { return bound_ / 10; }
  /// Time for the answer of a responsive log: 4 ms and a new connection, with a margin, at 2 s.
  Duration answer() const { return bound_ / 20; }

  /// @return how long the read of a node without peers waits for records.
  Duration lone_wait() const;
  /// @return the longest wait of a node with `peers` others that follow the same partition.
  Duration longest_wait(std::size_t peers) const;
  /// @return how long the next read waits for records: random between about `lone_wait` and
  /// `longest_wait`, since nodes whose reads end at the same time learn nothing from each other.
  Duration draw_wait(std::size_t peers, std::mt19937_64& random) const;

  /// @return timeout of a read beyond its wait, after `failures` consecutive failures. It grows
  /// with them, so that a log that is a hundred times slower (0.4 s an answer) still gets through.
  Duration read_limit(int failures) const;
  /// @return longest backoff after `failures` consecutive failures (one or more).
  Duration longest_pause(int failures) const;
  /// @return the backoff with jitter: between half of the longest and the longest.
  Duration draw_pause(int failures, std::mt19937_64& random) const;

  /// @return time without progress after which a node asks a peer that reports a higher position.
  Duration peer_lag() const { return bound_ / 8; }
  /// @return timeout of a request to a peer; its answer may be a megabyte (0.27 s at 30 Mbit/s).
  Duration question_limit() const { return bound_ * 7 / 20; }
  /// @return interval between requests to peers while the node does not follow the log.
  Duration question_interval() const { return bound_ / 5; }

  /// @return the greatest staleness of a node that follows the log without help of peers and loses
  /// a read just after a record was confirmed, if the log answers from then on.
  Duration greatest_age_following(std::size_t peers) const;
  /// @return the same for a node that asks, counted from the time at which the log answers again.
  Duration greatest_age_asking() const;

 private:
  Duration bound_;
};

}  // namespace dockpoint
