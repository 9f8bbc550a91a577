#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/served_version.hpp"
#include "dockpoint/routing/software_versions.hpp"

/// Decides which software versions the log has to name.
///
/// A process that has just started has not seen the versions that served before, and after a
/// restart of all nodes no other process has either. So the log names each version from shortly
/// after it appears until no stream that began at it can return. A node reads these records once,
/// when it starts. The keepers of a version, a few nodes, write and remove its record.
namespace dockpoint {

/// A record to write or to remove.
struct VersionChange {
  ServedVersion version;
  bool removed = false;
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class VersionRecords {
 public:
  /// @return whether this node is one of the keepers of a version.
  using IsKeeper = std::function<bool(const ServedVersion&)>;

  explicit VersionRecords(IsKeeper is_keeper) : is_keeper_(std::move(is_keeper)) {}

  /// The log holds a record of a version, as far as this node knows.
  void recorded(const ServedVersion& version) { recorded_.insert(version); }
  /// The log has confirmed a change.
  void confirmed(const VersionChange& change);
  /// @param known versions that serve or served recently, as this node has seen them.
  /// @param view_partial whether replicas of other versions may serve unseen.
  /// @return the changes that this node has to write.
  std::vector<VersionChange> due(const std::vector<ServedVersion>& known, bool view_partial,
                                 TimePoint now);

 private:
  const IsKeeper is_keeper_;
  std::set<ServedVersion> recorded_;
  std::map<ServedVersion, TimePoint> unrecorded_since_;
};

}  // namespace dockpoint
