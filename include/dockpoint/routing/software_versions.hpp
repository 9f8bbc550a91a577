#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "dockpoint/routing/served_version.hpp"

namespace dockpoint {

/// Software versions of the replicas of each service, as far as this node sees them.
///
/// A version counts for a while after its last replica has gone, since streams that began there may
/// still return. Not thread-safe.
class SoftwareVersions {
 public:
  explicit SoftwareVersions(const Knobs& knobs) : knobs_(knobs) {}

  /// Claims no sole version until `restore` has told which versions served before this process
  /// started.
  void await_history() { history_known_ = false; }
  bool history_known() const { return history_known_; }
  /// Counts these versions as seen now.
  void restore(const std::vector<ServedVersion>& versions, TimePoint now);
  /// Notes the versions that serve now, and those that came and went since the last call.
  void observe(ReplicaDirectory& replicas, TimePoint now);
  /// The view that was observed last lacked no record that was in the log at this time.
  void confirm(TimePoint as_of) { confirmed_at_ = std::max(confirmed_at_, as_of); }
  /// @return whether the view was confirmed as of this time or later.
  bool confirmed_since(TimePoint time) const { return confirmed_at_ >= time; }
  /// @return the only version of the service, or nothing if there are several or none, or if there
  /// may have been others.
  std::optional<std::string> sole(const std::string& service) const;
  /// @return whether replicas of more than one version serve or served recently.
  bool several(const std::string& service) const;
  /// @return all versions that serve or served recently.
  std::vector<ServedVersion> known() const;

 private:
  const Knobs& knobs_;
  bool history_known_ = true;
  TimePoint confirmed_at_{};
  std::uint64_t revision_ = 0;  ///< Of the directory that `serving_` was read from.
  std::map<std::string, std::set<std::string>> serving_;  ///< Versions by service.
  /// When replicas of each version were last seen, by service and version.
  std::map<std::string, std::map<std::string, TimePoint>> last_seen_;
};

}  // namespace dockpoint
