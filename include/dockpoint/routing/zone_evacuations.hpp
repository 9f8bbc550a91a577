#pragma once

#include <set>
#include <string>

#include "dockpoint/log/partitioned_log.hpp"

/// Zones that the operator has evacuated: nothing new is sent to their replicas.
///
/// Changes lie in one partition of the log, so their offsets order them. A node hears of them from
/// the log and from its peers; whichever has read further counts, and a page or an answer of one
/// that is behind changes nothing. Otherwise an evacuation that was taken back would come into
/// force again, or one in force would be lifted, by the word of a node that was away.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ZoneEvacuations {
 public:
  /// All of them as they stood when the partition ended at `position`.
  /// @return whether any zone is evacuated now that was not before, or the reverse.
  bool replace(std::set<std::string> zones, LogOffset position);
  /// One change, as it lies in the log at `offset`. @return as `replace`.
  bool change(const std::string& zone, bool evacuated, LogOffset offset);
  /// Everything before `position` was told.
  void advance(LogOffset position);

  bool contains(const std::string& zone) const { return zones_.contains(zone); }
  const std::set<std::string>& zones() const { return zones_; }
  /// @return the end of the partition up to which changes are known.
  LogOffset position() const { return position_; }

 private:
  std::set<std::string> zones_;
  LogOffset position_ = 0;
};

}  // namespace dockpoint
