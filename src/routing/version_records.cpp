#include "dockpoint/routing/version_records.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Time from the appearance of a version to its record, in which a node that starts learns of the
/// members among whom the keepers are selected.
constexpr Duration kSettleTime = std::chrono::seconds(1);

}  // namespace

void VersionRecords::confirmed(const VersionChange& change) {
  if (change.removed) {
    recorded_.erase(change.version);
  } else {
    recorded_.insert(change.version);
    unrecorded_since_.erase(change.version);
  }
}

std::vector<VersionChange> VersionRecords::due(const std::vector<ServedVersion>& known,
                                               bool view_partial, TimePoint now) {
  std::erase_if(unrecorded_since_, [&](const auto& entry) {
    return std::find(known.begin(), known.end(), entry.first) == known.end();
  });
  std::vector<VersionChange> changes;
  for (const ServedVersion& version : known) {
    if (recorded_.contains(version)) {
      continue;
    }
    const auto [since, added] = unrecorded_since_.try_emplace(version, now);
    if (now - since->second >= kSettleTime && is_keeper_(version)) {
      changes.push_back({version, false});
    }
  }
  for (const ServedVersion& version : recorded_) {
    const bool gone = std::find(known.begin(), known.end(), version) == known.end();
    if (gone && !view_partial && is_keeper_(version)) {
      changes.push_back({version, true});
    }
  }
  return changes;
}

}  // namespace dockpoint
