#pragma once

#include <set>
#include <string>

#include "dockpoint/log/partitioned_log.hpp"

/// Zones evacuated by the operator: their replicas get no new work.
///
/// Changes are stored in one partition of the log and ordered by their offsets. A node learns of
/// them from the log and from its peers; the source with the higher position wins, and a page or an
/// answer from an older position is ignored. Otherwise a stale node could reinstate an evacuation
/// that was revoked, or lift one that is in force.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ZoneEvacuations {
 public:
  /// Replaces all evacuations by the state at the partition end `position`.
  /// @return whether the set of evacuated zones changed.
  bool replace(std::set<std::string> zones, LogOffset position);
  /// Applies one change, stored in the log at `offset`. @return whether the set changed.
  bool change(const std::string& zone, bool evacuated, LogOffset offset);
  /// Records that all changes before `position` have been applied.
  void advance(LogOffset position);

  bool contains(const std::string& zone) const { return zones_.contains(zone); }
  const std::set<std::string>& zones() const { return zones_; }
  /// @return the offset up to which changes are known.
  LogOffset position() const { return position_; }

 private:
  std::set<std::string> zones_;
  LogOffset position_ = 0;
};

}  // namespace dockpoint
