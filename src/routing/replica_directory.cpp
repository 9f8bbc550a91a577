#include "dockpoint/routing/replica_directory.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/routing/outlier_detection.hpp"

namespace dockpoint {
namespace {

/// A load that a replica stated counts for this long.
constexpr Duration kReportFresh = std::chrono::milliseconds(400);

std::uint32_t digest_key(const std::string& id) {
  return static_cast<std::uint32_t>(hash64(id));
}

}  // namespace

int Replica::load(TimePoint now) const {
  const int counted = online + batch + of_peers;
  if (reported.waiting > 0 && now - reported_at < kReportFresh) {
    return std::max(counted, reported.running + reported.waiting);
  }
  return counted;
}

void ReplicaDirectory::upsert(const ReplicaRecord& record, TimePoint now) {
  const auto [entry, added] = replicas_.try_emplace(record.id);
  Replica& replica = entry->second;
  if (added) {
    replica.key = digest_key(record.id);
    replica.cold_until = now + record.cold_remaining;
    replica.own_failures = DecayingCount(knobs_.failure_memory);
  }
  replica.record = record;
  ++revision_;
  if (added) {
    sum_peer_loads(now);
  }
}

void ReplicaDirectory::remove(const std::string& id) {
  if (replicas_.erase(id) > 0) {
    ++revision_;
  }
}

void ReplicaDirectory::retain(const std::vector<std::string>& ids) {
  const std::set<std::string> kept(ids.begin(), ids.end());
  if (std::erase_if(replicas_, [&](const auto& entry) { return !kept.contains(entry.first); }) >
      0) {
    ++revision_;
  }
}

void ReplicaDirectory::started(const std::string& id, TrafficClass traffic, double prefill_tokens) {
  if (Replica* replica = mutable_find(id)) {
    ++(traffic == TrafficClass::kOnline ? replica->online : replica->batch);
    replica->prefill_tokens += prefill_tokens;
  }
}

void ReplicaDirectory::prefilled(const std::string& id, double prefill_tokens) {
  if (Replica* replica = mutable_find(id)) {
    replica->prefill_tokens = std::max(0.0, replica->prefill_tokens - prefill_tokens);
  }
}

void ReplicaDirectory::ended(const std::string& id, TrafficClass traffic) {
  if (Replica* replica = mutable_find(id)) {
    int& count = traffic == TrafficClass::kOnline ? replica->online : replica->batch;
    count = std::max(0, count - 1);
  }
}

void ReplicaDirectory::signal(const std::string& id, ReplicaSignal signal, TimePoint now) {
  Replica* replica = mutable_find(id);
  if (replica == nullptr) {
    return;
  }
  if (signal == ReplicaSignal::kAnswered) {
    replica->failures_in_row = 0;
    replica->ejections = 0;
    replica->ejected_until = {};
    return;
  }
  replica->own_failures.add(now);
  if (signal == ReplicaSignal::kFailed || signal == ReplicaSignal::kSilent) {
    return;  // Its connections are good: only what all nodes see of it counts.
  }
  ++replica->failures_in_row;
  if (signal == ReplicaSignal::kUnreachable ||
      replica->failures_in_row >= knobs_.replica_ejection_failures) {
    eject(*replica, now);
  }
}

void ReplicaDirectory::eject(Replica& replica, TimePoint now) {
  if (ejected(replica, now)) {
    return;  // Further requests that were under way fail for the same reason.
  }
  const int doublings = std::min(replica.ejections, 10);
  const Duration time = knobs_.replica_ejection_time * (1 << doublings);
  replica.ejected_until = now + std::min(time, knobs_.replica_ejection_time_limit);
  ++replica.ejections;
}

void ReplicaDirectory::report(const std::string& id, const ReportedLoad& load, TimePoint now) {
  if (Replica* replica = mutable_find(id)) {
    replica->reported = load;
    replica->reported_at = now;
  }
}

void ReplicaDirectory::set_peer_loads(const std::vector<LoadDigest>& digests, TimePoint now) {
  for (const LoadDigest& digest : digests) {
    peers_[digest.node] = {digest.entries, now, now};
  }
  if (!digests.empty()) {
    sum_peer_loads(now);
  }
}

void ReplicaDirectory::renew_peer(std::uint32_t node, TimePoint now) {
  if (const auto peer = peers_.find(node); peer != peers_.end()) {
    peer->second.heard = now;
  }
}

std::vector<const Replica*> ReplicaDirectory::update_outliers(TimePoint now) {
  std::map<std::string, std::vector<Replica*>> services;
  for (auto& [id, replica] : replicas_) {
    services[replica.record.service].push_back(&replica);
  }
  std::vector<const Replica*> changed;
  for (const auto& [service, replicas] : services) {
    std::vector<double> failures;
    for (const Replica* replica : replicas) {
      failures.push_back(replica->failures(now));
    }
    const std::vector<bool> outliers = find_outliers(failures, knobs_);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
      if (replicas[index]->outlier != outliers[index]) {
        replicas[index]->outlier = outliers[index];
        changed.push_back(replicas[index]);
      }
    }
  }
  return changed;
}

void ReplicaDirectory::expire_peer_loads(TimePoint now) {
  const Duration limit = knobs_.load_digest_lifetime;
  const auto expired = [&](const auto& entry) { return now - entry.second.heard > limit; };
  if (std::erase_if(peers_, expired) > 0) {
    sum_peer_loads(now);
  }
}

Duration ReplicaDirectory::mean_peer_age(TimePoint now) const {
  Duration sum{};
  for (const auto& [node, peer] : peers_) {
    sum += now - peer.received;
  }
  return peers_.empty() ? Duration{} : sum / static_cast<int>(peers_.size());
}

void ReplicaDirectory::sum_peer_loads(TimePoint now) {
  struct Sum {
    std::uint32_t in_flight = 0;
    std::uint32_t batch = 0;
    std::uint32_t failures = 0;
    double prefill_tokens = 0;
  };
  std::unordered_map<std::uint32_t, Sum> sums;
  for (const auto& [node, peer] : peers_) {
    const double age_ms = std::chrono::duration<double, std::milli>(now - peer.received).count();
    for (const LoadDigestEntry& entry : peer.entries) {
      Sum& sum = sums[entry.replica_key];
      sum.in_flight += entry.in_flight;
      sum.batch += std::min(entry.batch, entry.in_flight);
      sum.failures += entry.failures;
      // What was read since the peer said so does not count.
      sum.prefill_tokens +=
          std::max(0.0, entry.prefill_tokens - age_ms * knobs_.prefill_tokens_per_ms);
    }
  }
  for (auto& [id, replica] : replicas_) {
    const auto found = sums.find(replica.key);
    const Sum sum = found == sums.end() ? Sum{} : found->second;
    replica.of_peers = static_cast<int>(sum.in_flight);
    replica.batch_of_peers = static_cast<int>(sum.batch);
    replica.failures_of_peers = sum.failures;
    replica.peer_prefill_tokens = sum.prefill_tokens;
    replica.peer_prefill_at = now;
  }
}

std::vector<LoadDigestEntry> ReplicaDirectory::own_load(TimePoint now) const {
  std::vector<LoadDigestEntry> entries;
  for (const auto& [id, replica] : replicas_) {
    const int in_flight = replica.online + replica.batch;
    const auto failures = static_cast<std::uint32_t>(std::lround(replica.own_failures.value(now)));
    if (in_flight > 0 || failures > 0) {
      entries.push_back({replica.key, static_cast<std::uint32_t>(in_flight),
                         static_cast<std::uint32_t>(replica.prefill_tokens),
                         static_cast<std::uint32_t>(replica.batch), failures});
    }
  }
  return entries;
}

const Replica* ReplicaDirectory::find(const std::string& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

Replica* ReplicaDirectory::mutable_find(const std::string& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

std::vector<const Replica*> ReplicaDirectory::ready(const std::string& service) const {
  std::vector<const Replica*> result;
  for (const auto& [id, replica] : replicas_) {
    if (replica.record.service == service && !replica.record.draining) {
      result.push_back(&replica);
    }
  }
  return result;
}

}  // namespace dockpoint
