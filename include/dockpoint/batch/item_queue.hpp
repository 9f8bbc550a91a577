#pragma once

#include <map>
#include <optional>
#include <set>

#include "dockpoint/batch/partition_state.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Pending and in-flight items of one job at its owner. Kept in memory only: a new owner rebuilds
/// it from the folded state.
class ItemQueue {
 public:
  explicit ItemQueue(const Knobs& knobs) : knobs_(&knobs) {}

  /// @return the next item to send, now marked as in flight, or nothing.
  std::optional<ItemIndex> take(const JobState& job, TimePoint now);

  /// @return whether `take` would return an item.
  bool has_ready(const JobState& job, TimePoint now);

  /// Requeues an item without a result. The retry delay grows exponentially with `attempts`.
  void retry(ItemIndex item, int attempts, TimePoint now);

  /// Requeues an item that was preempted by online requests, without a delay.
  void requeue(ItemIndex item);

  /// Removes an item from those in flight; it is not sent again by this queue.
  void finish(ItemIndex item) { in_flight_.erase(item); }

  /// Marks an item as in flight without sending it, because its result is already being recorded.
  void mark_in_flight(ItemIndex item) { in_flight_.insert(item); }

  bool is_in_flight(ItemIndex item) const { return in_flight_.contains(item); }
  const std::set<ItemIndex>& in_flight() const { return in_flight_; }

  /// @return the number of attempts that this owner has made for the item.
  int attempts(ItemIndex item) const;

 private:
  void skip_finished(const JobState& job);

  const Knobs* knobs_;
  ItemIndex cursor_ = 0;  ///< All items below have been taken or skipped.
  std::set<ItemIndex> in_flight_;
  std::map<ItemIndex, TimePoint> waiting_;  ///< Requeued items and their earliest send time.
  std::map<ItemIndex, int> attempts_;       ///< Attempt counts of retried items.
};

}  // namespace dockpoint
