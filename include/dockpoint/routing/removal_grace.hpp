#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"

/// When a replica whose record is gone from the log is taken as gone.
///
/// Records are leases: while the log is away nobody can renew them, and all may lapse at once
/// though every replica lives. Live replicas write theirs again within a grace time after the log's
/// return. A removal that is learnt while the log is away, or within that time after its return, is
/// therefore held until the time is over, and forgotten if the record comes back. At all other
/// times a removal counts at once.
///
/// A replica whose removal is held gets work only if more than half of its service have been held
/// together: they must have lapsed, and those that are not back yet stay in use. Fewer that are
/// gone have rather left while this node was cut off: it may have missed that they drain, and would
/// send to them for the grace time on top of its own absence.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RemovalGrace {
 public:
  explicit RemovalGrace(const Knobs& knobs) : knobs_(knobs) {}

  /// This node does not reach the log any more.
  void log_lost() { reachable_ = false; }
  /// It reaches the log again.
  void log_regained(TimePoint now);

  /// The record of a replica is gone. @return whether the removal is held for now.
  bool defer(const std::string& replica, TimePoint now);
  /// The replica has a record.
  void cancel_deferral(const std::string& replica) { held_.erase(replica); }
  /// @return whether a removal of the replica is held.
  bool is_deferred(const std::string& replica) const { return held_.contains(replica); }
  /// @return whether no removal is held.
  bool empty() const { return held_.empty(); }
  /// @return whether so many removals held at once, of the known replicas of a service, look like a
  /// lapse of all.
  static bool is_mass_expiry(std::size_t held, std::size_t known);
  /// @return replicas whose time is over: they are gone, and not held any more.
  std::vector<std::string> take_expired(TimePoint now);

 private:
  const Knobs& knobs_;
  bool reachable_ = true;
  TimePoint believed_from_{};              ///< Removals count at once from then on.
  std::map<std::string, TimePoint> held_;  ///< Until when, a replica each.
};

}  // namespace dockpoint
