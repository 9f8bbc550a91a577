#include "dockpoint/routing/replica_subset.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Hysteresis: a divided service stays divided down to this share of `kUndivided`, in tenths.
constexpr std::size_t kUndividedAgainTenths = 7;

/// Replicas are hashed with a seed of their own, as nodes may have the same names.
constexpr std::uint64_t kReplicaSeed = 0x5ee7;

}  // namespace

ReplicaSubset::ReplicaSubset(std::string zone, std::string_view node)
    : zone_(std::move(zone)), hash_(hash64(node)) {}

void ReplicaSubset::add(const std::string& service, const std::string& zone) {
  count(service, zone, 1);
}

void ReplicaSubset::remove(const std::string& service, const std::string& zone) {
  count(service, zone, -1);
}

void ReplicaSubset::count(const std::string& service, const std::string& zone, int change) {
  Service& counted = services_[service];
  const auto [before, slices] = counted.zones.try_emplace(zone, 0, 1).first->second;
  if (change < 0 && before == 0) {
    return;
  }
  const std::size_t replicas = change > 0 ? before + 1 : before - 1;
  const std::size_t all = counted.replicas - before + replicas;
  const std::size_t limit = counted.divided ? kUndivided * kUndividedAgainTenths / 10 : kUndivided;
  divide(counted, zone, replicas, fitting_slices(replicas, slices), all > limit);
}

void ReplicaSubset::divide(Service& counted, const std::string& zone, std::size_t replicas,
                           std::size_t slices, bool divided) {
  auto& [replicas_before, slices_before] = counted.zones.try_emplace(zone, 0, 1).first->second;
  if (divided != counted.divided || (divided && slices != slices_before)) {
    ++revision_;
    const bool narrower = divided && (!counted.divided || slices > slices_before);
    widened_ += narrower ? 0 : 1;
  }
  counted.replicas = counted.replicas - replicas_before + replicas;
  counted.divided = divided;
  replicas_before = replicas;
  slices_before = slices;
}

void ReplicaSubset::adopt_counts(const std::vector<ReplicaCount>& counts) {
  std::map<std::pair<std::string, std::string>, const ReplicaCount*> reported;
  for (const ReplicaCount& count : counts) {
    reported[{count.service, count.zone}] = &count;
    divide(services_[count.service], count.zone, static_cast<std::size_t>(count.replicas),
           std::max<std::size_t>(1, static_cast<std::size_t>(count.slices)), count.divided);
  }
  for (auto& [service, counted] : services_) {
    for (const auto& [zone, known] : counted.zones) {
      if (!reported.contains({service, zone}) && known.first > 0) {
        divide(counted, zone, 0, 1, counted.divided);
      }
    }
  }
}

std::vector<ReplicaCount> ReplicaSubset::counts() const {
  std::vector<ReplicaCount> counts;
  for (const auto& [service, counted] : services_) {
    for (const auto& [zone, known] : counted.zones) {
      counts.push_back({service, zone, known.first, known.second, counted.divided});
    }
  }
  return counts;
}

std::size_t ReplicaSubset::fitting_slices(std::size_t replicas, std::size_t present) {
  std::size_t slices = present;
  while (replicas >= slices * kSliceReplicas * 5 / 2) {
    slices *= 2;
  }
  while (slices > 1 && replicas < slices * kSliceReplicas * 3 / 4) {
    slices /= 2;
  }
  return slices;
}

bool ReplicaSubset::contains(const std::string& service, const std::string& zone,
                             std::string_view name) const {
  return contains_for(hash_, service, zone, name);
}

bool ReplicaSubset::contains_for(std::uint64_t node_hash, const std::string& service,
                                 const std::string& zone, std::string_view name) const {
  const auto counted = services_.find(service);
  if (counted == services_.end() || !counted->second.divided) {
    return true;
  }
  const auto counts = counted->second.zones.find(zone);
  std::size_t slices = counts == counted->second.zones.end() ? 1 : counts->second.second;
  if (zone != zone_) {
    slices *= kSpareDivisor;
  }
  return slice_of(hash64(name, kReplicaSeed), slices) == slice_of(node_hash, slices);
}

std::size_t ReplicaSubset::replicas() const {
  std::size_t replicas = 0;
  for (const auto& [service, counted] : services_) {
    replicas += counted.replicas;
  }
  return replicas;
}

bool ReplicaSubset::divided() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& entry) { return entry.second.divided; });
}

std::size_t ReplicaSubset::slices() const {
  std::size_t most = 1;
  for (const auto& [service, counted] : services_) {
    const auto counts = counted.zones.find(zone_);
    if (counted.divided && counts != counted.zones.end()) {
      most = std::max(most, counts->second.second);
    }
  }
  return most;
}

std::size_t ReplicaSubset::slice_of(std::uint64_t hash, std::size_t slices) {
  constexpr int kBits = 32;
  return static_cast<std::size_t>(((hash >> kBits) * slices) >> kBits);
}

}  // namespace dockpoint
