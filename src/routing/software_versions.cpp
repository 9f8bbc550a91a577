#include "dockpoint/routing/software_versions.hpp"

#include <utility>

namespace dockpoint {

void SoftwareVersions::restore(const std::vector<ServedVersion>& versions, TimePoint now) {
  history_known_ = true;
  for (const ServedVersion& served : versions) {
    last_seen_[served.service][served.version] = now;
  }
}

void SoftwareVersions::observe(ReplicaDirectory& replicas, TimePoint now) {
  for (const ServedVersion& recorded : replicas.take_recorded_versions()) {
    last_seen_[recorded.service][recorded.version] = now;
  }
  const std::uint64_t revision = replicas.revision();
  if (std::exchange(revision_, revision) != revision) {
    serving_.clear();
    for (const auto& [id, replica] : replicas.all()) {
      serving_[replica.record.service].insert(replica.record.software_version);
    }
  }
  for (const auto& [service, versions] : serving_) {
    for (const std::string& version : versions) {
      last_seen_[service][version] = now;
    }
  }
  for (auto& [service, versions] : last_seen_) {
    std::erase_if(versions, [&](const auto& entry) {
      return now - entry.second > knobs_.stream_origin_lifetime;
    });
  }
}

std::optional<std::string> SoftwareVersions::sole(const std::string& service) const {
  const auto found = last_seen_.find(service);
  if (!history_known_ || found == last_seen_.end() || found->second.size() != 1) {
    return std::nullopt;
  }
  return found->second.begin()->first;
}

bool SoftwareVersions::several(const std::string& service) const {
  const auto found = last_seen_.find(service);
  return found != last_seen_.end() && found->second.size() > 1;
}

std::vector<ServedVersion> SoftwareVersions::known() const {
  std::vector<ServedVersion> served;
  for (const auto& [service, versions] : last_seen_) {
    for (const auto& [version, seen] : versions) {
      served.push_back({service, version});
    }
  }
  return served;
}

}  // namespace dockpoint
