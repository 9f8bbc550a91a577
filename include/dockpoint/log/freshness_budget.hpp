#pragma once

#include <cstddef>
#include <random>

#include "dockpoint/core/time.hpp"

/// How the bound on the age of what a node believes is shared out among its waits.
///
/// A record that the log has confirmed (a configuration, a replica that drains) must be acted upon
/// by every node within a bound. A node learns of it by a read that waits for records. Such a read
/// can be lost without a sign: the log falls silent, or the connection does, and nothing ever comes
/// on it, also when the log answers others again. The node notices by the read's time limit alone,
/// so the wait, the time limit, the pause after a failure and the answer of the next read have to
/// fit into the bound together. All of them are derived from it here:
///
///     following: wait + read limit + first pause + answer + reserve <= bound
///     asking:    read limit        + longest pause + answer + reserve <= bound
///
/// A node that follows waits for records, which costs the log one call per wait at rest. After a
/// failure it asks: its reads do not wait, and a call whose answer would come too late is given up.
///
/// Where many nodes follow the same partition and tell each other how far they have read, the one
/// whose read ends first tells the rest. Each then waits longer, at random, so that the fleet's
/// calls do not grow with its size while some read still ends as soon as a lone node's would.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks.
class FreshnessBudget {
 public:
  /// Shorter bounds cannot be kept: the wait would be as short as the event loop's timers are late.
  static constexpr Duration kShortestBound = std::chrono::milliseconds(500);

  /// @param bound from a record's confirmation until every node acts on it.
  explicit FreshnessBudget(Duration bound) : bound_(bound) {}

  Duration bound() const { return bound_; }
  /// For timers that fire late and a slow processor: two rounds of 50 ms and as much work at the
  /// usual bound of 2 s.
  Duration reserve() const { return bound_ / 10; }
  /// For an answer of a log that answers: 4 ms and a new connection, with room, at 2 s.
  Duration answer() const { return bound_ / 20; }

  /// @return how long a lone node's read waits for records.
  Duration lone_wait() const;
  /// @return the longest wait of a node with so many `peers` that follow the same partition.
  Duration longest_wait(std::size_t peers) const;
  /// @return how long the next read waits for records: between the two above, at random, since
  /// nodes that are all in step learn nothing from each other.
  Duration draw_wait(std::size_t peers, std::mt19937_64& random) const;

  /// @return time limit of a read's answer, beyond its wait, after so many failures in a row. It
  /// grows with them, so that a log that is slow by a hundred times (0.4 s an answer) is heard.
  Duration read_limit(int failures) const;
  /// @return longest pause after so many failures in a row (one or more).
  Duration longest_pause(int failures) const;
  /// @return the pause to make: between half of the longest and the longest.
  Duration draw_pause(int failures, std::mt19937_64& random) const;

  /// @return time without news after which a node that others say to be ahead asks one of them.
  Duration peer_lag() const { return bound_ / 8; }
  /// @return time limit of a question to a peer; its answer may be a megabyte (0.27 s at 30
  /// Mbit/s).
  Duration question_limit() const { return bound_ * 7 / 20; }
  /// @return time between two questions of a node that does not follow the log.
  Duration question_interval() const { return bound_ / 5; }

  /// @return greatest age of what a node believes that follows the log by itself and loses a read
  /// just after a record was confirmed, if the log answers from then on.
  Duration greatest_age_following(std::size_t peers) const;
  /// @return the same of a node that asks, from the moment on at which the log answers again.
  Duration greatest_age_asking() const;

 private:
  Duration bound_;
};

}  // namespace dockpoint
