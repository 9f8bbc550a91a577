#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"

/// Decides when a replica whose record was removed from the log is treated as gone.
///
/// Records are leases: during a log outage they cannot be renewed, and all may expire at once
/// although every replica is alive. Live replicas write their records again within a grace period
/// after the log recovers. A removal learnt during an outage, or within the grace period after it,
/// is therefore deferred until the period ends, and cancelled if the record reappears. At all other
/// times a removal takes effect at once.
///
/// A replica whose removal is deferred gets work only if more than half of its service's replicas
/// are deferred together: then their leases must have expired in the outage, and replicas that are
/// not back yet remain in use. If fewer are missing, they more likely left while this node was cut
/// off: it may have missed their drain, and would send to them for the grace period in addition to
/// its own outage.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RemovalGrace {
 public:
  explicit RemovalGrace(const Knobs& knobs) : knobs_(knobs) {}

  /// This node lost its connection to the log.
  void log_lost() { reachable_ = false; }
  /// This node reaches the log again.
  void log_regained(TimePoint now);

  /// Reports that a replica's record was removed. @return whether the removal is deferred.
  bool defer(const std::string& replica, TimePoint now);
  /// Cancels a deferred removal because the replica has a record.
  void cancel_deferral(const std::string& replica) { deferred_.erase(replica); }
  /// @return whether the replica's removal is deferred.
  bool is_deferred(const std::string& replica) const { return deferred_.contains(replica); }
  /// @return whether no removal is deferred.
  bool empty() const { return deferred_.empty(); }
  /// @return whether `held` deferred removals among the `known` replicas of a service indicate that
  /// their leases expired together.
  static bool is_mass_expiry(std::size_t held, std::size_t known);
  /// @return replicas whose grace period is over, and stops deferring them.
  std::vector<std::string> take_expired(TimePoint now);

 private:
  const Knobs& knobs_;
  bool reachable_ = true;
  TimePoint grace_ends_at_{};                  ///< From then on removals take effect at once.
  std::map<std::string, TimePoint> deferred_;  ///< End of the grace period by replica.
};

}  // namespace dockpoint
