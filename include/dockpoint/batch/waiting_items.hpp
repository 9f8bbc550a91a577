#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dockpoint/batch/batch_share.hpp"
#include "dockpoint/batch/due_time.hpp"
#include "dockpoint/batch/item_ref.hpp"

/// Queues of the batch items that wait for a free slot, one for each service.
///
/// Whether an item can start depends on the replicas of its service, and it takes only their slots.
/// With one queue for all services, the items of one that has no free replica would hold up all
/// others. Within a service, items start in order of their due times; items that were overdue when
/// they were queued come last. Performs no I/O and reads no clock.
namespace dockpoint {

/// One waiting item.
struct WaitingItem {
  bool overdue = false;  ///< When it was queued.
  DueTime due;
  ItemRef ref;
  std::optional<std::int64_t> expires_ms;  ///< Unix time after which it may be given up.

  bool expired(std::int64_t now_ms) const { return expires_ms && now_ms > *expires_ms; }
  friend bool operator<(const WaitingItem& left, const WaitingItem& right) {
    return std::tie(left.overdue, left.due.at_ms, left.ref) <
           std::tie(right.overdue, right.due.at_ms, right.ref);
  }
};

/// Outcome of an attempt to start an item.
enum class StartOutcome {
  kStarted,
  kNotNow,  ///< The item needs no slot now: it has ended, or was scheduled for later.
  kNoRoom,  ///< No replica of its service takes an item.
};

/// See the top of this file. Not thread-safe.
class WaitingItems {
 public:
  void add(const std::string& service, const WaitingItem& item);
  /// Removes the items for which `matches` returns true. @return them.
  std::vector<WaitingItem> remove_if(const std::function<bool(const WaitingItem&)>& matches);
  void for_each(const std::function<void(const WaitingItem&)>& visit) const;

  /// Starts items of one service until none is left, its share is used up or no replica takes one.
  /// The cost does not depend on the number of items that wait.
  /// @param running items of the service that this node runs.
  /// @param start called with each item in turn; must not change the queues.
  /// @return whether the round ended because no replica takes an item.
  bool start_round(const std::string& service, const Knobs& knobs, const BatchShare& share,
                   std::size_t running, std::int64_t now_ms,
                   const std::function<StartOutcome(const WaitingItem&)>& start);

  /// @return the services with waiting items.
  std::vector<std::string> services() const;
  std::size_t size() const { return size_; }
  /// @return the number of waiting items of a service.
  std::size_t size_of(const std::string& service) const;

 private:
  std::map<std::string, std::set<WaitingItem>> queues_;  ///< By service; none is empty.
  std::size_t size_ = 0;
};

}  // namespace dockpoint
