#pragma once

#include <map>
#include <optional>
#include <set>

#include "dockpoint/batch/partition_state.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Which items of one job its owner has yet to send, and which are under way. Volatile: a new
/// owner builds it anew from the folded state.
class ItemQueue {
 public:
  explicit ItemQueue(const Knobs& knobs) : knobs_(&knobs) {}

  /// @return the next item to send, or nothing. It counts as under way from now on.
  std::optional<ItemIndex> take(const JobState& job, TimePoint now);

  /// @return whether `take` would find an item.
  bool has_ready(const JobState& job, TimePoint now);

  /// Gives back an item that has no result yet, to be sent again after a delay that grows with
  /// `attempts`.
  void retry(ItemIndex item, int attempts, TimePoint now);

  /// Gives back an item that batch yielded to online work; it is sent again without delay.
  void requeue(ItemIndex item);

  /// Ends the sending of an item; its result is on its way to the log.
  void finish(ItemIndex item) { in_flight_.erase(item); }

  /// Marks an item that is not to be sent, since its end is being recorded.
  void mark_in_flight(ItemIndex item) { in_flight_.insert(item); }

  bool is_in_flight(ItemIndex item) const { return in_flight_.contains(item); }
  const std::set<ItemIndex>& in_flight() const { return in_flight_; }

  /// @return the attempts made so far, by this owner.
  int attempts(ItemIndex item) const;

 private:
  void skip_finished(const JobState& job);

  const Knobs* knobs_;
  ItemIndex cursor_ = 0;  ///< No item below was never taken.
  std::set<ItemIndex> in_flight_;
  std::map<ItemIndex, TimePoint> waiting_;  ///< Items to send again, and when.
  std::map<ItemIndex, int> attempts_;       ///< Of items that were given back.
};

}  // namespace dockpoint
