#pragma once

#include "dockpoint/core/time.hpp"

/// Divides the bound on staleness among the steps of a record that passes through other nodes.
///
/// A record goes from the log to a reader, from there to a relay, and on to every other node, a
/// leaf. Any of the nodes before a node may freeze, die or lose the log, and the node must still
/// act on the record within the bound. So every answer carries the age of its data, counted from
/// the log's confirmation, and each node decides by the age of its own view and not by the time
/// since its last answer: ages of several steps never add up unnoticed.
///
///     a read at a source ends within          source_wait + source_limit      40%
///     a relay then reads from the log         relay_log_age                   40%
///     other nodes read from the log from      shortest_log_age (staggered)    50%
///                                    up to    longest_log_age                 60%
///     that read, lost once, costs             log_limit + pause + answer      22%
///     late timers and a slow processor        reserve                         10%
///
/// While nothing fails, a source answers its waiting reads as soon as its own view is confirmed, so
/// that the confirmation of one read of the log passes through all steps at once, and a view is
/// little older than that read's wait.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks.
class RelayBudget {
 public:
  /// @param bound longest time from a record's confirmation until every node acts on it.
  explicit RelayBudget(Duration bound) : bound_(bound) {}

  /// Longest wait for records of a reader's read from the log.
  Duration log_wait() const { return bound_ / 4; }
  /// Longest wait of a read at a source: that of a reader, and the time for its confirmation to
  /// arrive.
  Duration source_wait() const { return bound_ * 3 / 10; }
  /// Timeout of a read at a source beyond its wait.
  Duration source_limit() const { return bound_ / 10; }
  /// Age of a view from which on it is not served to other nodes: their time would be too short to
  /// get a newer one elsewhere.
  Duration longest_served_age() const { return bound_ * 7 / 20; }
  /// Difference in age from which on a newer confirmation is worth an answer without records.
  Duration least_gain() const { return bound_ / 20; }

  /// Age of its view from which on a relay reads from the log in place of the readers.
  Duration relay_log_age() const { return bound_ * 2 / 5; }
  /// The same for a node that no other node reads from, lies between these two: nodes that lose
  /// their sources at the same time do not turn to the log at the same time.
  Duration shortest_log_age() const { return bound_ / 2; }
  Duration longest_log_age() const { return bound_ * 3 / 5; }
  /// Timeout of a read from the log in place of a source.
  Duration log_limit() const { return bound_ / 8; }
  /// Pause after `failures` (one or more) such reads have failed in a row.
  Duration log_pause(int failures) const;

  /// Margin for late timers and a slow processor.
  Duration reserve() const { return bound_ / 10; }
  /// Time for the answer of a responsive log.
  Duration answer() const { return bound_ / 20; }
  /// @return the greatest age of the view of a node that has lost all its sources and then one read
  /// from the log, if the log answers the next one.
  Duration greatest_age() const;

 private:
  Duration bound_;
};

}  // namespace dockpoint
