#include "dockpoint/routing/replica_directory.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/routing/outlier_detection.hpp"

namespace dockpoint {
namespace {

/// How long the load that a replica reported is used.
constexpr Duration kReportFresh = std::chrono::milliseconds(400);

/// Ended incarnations are kept until every request that was in flight there has been notified.
constexpr Duration kEndedIncarnationMemory = std::chrono::seconds(10);

std::uint32_t digest_key(const std::string& id) {
  return static_cast<std::uint32_t>(hash64(id));
}

}  // namespace

std::string replica_incarnation_id(const std::string& name, std::int64_t started_ms) {
  return started_ms == 0 ? name : name + "@" + std::to_string(started_ms);
}

int Replica::load(TimePoint now) const {
  const int seen = online + batch + peer_in_flight;
  const int counted = full(now) ? std::max(seen, record.slots) : seen;
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
    replica.own_failures = DecayingCount(knobs_.failure_memory);
  }
  replica.record = record;
  // A replica may become cold again while it runs.
  replica.cold_until = std::max(replica.cold_until, now + record.cold_remaining);
  ++revision_;
  recorded_versions_.insert({record.service, record.software_version});
  if (added) {
    by_key_[replica.key] = &replica;
    paces_.add(replica.key, record.service);
    copy_peer_sum(replica.key);
  }
}

void ReplicaDirectory::remove(const std::string& id) {
  const auto found = replicas_.find(id);
  if (found != replicas_.end()) {
    forget_key(found->second);
    replicas_.erase(found);
    ++revision_;
  }
}

void ReplicaDirectory::end_incarnation(const std::string& id, TimePoint now) {
  remove(id);
  std::erase_if(ended_incarnations_,
                [&](const auto& entry) { return now - entry.second > kEndedIncarnationMemory; });
  ended_incarnations_[id] = now;
}

void ReplicaDirectory::retain(const std::vector<std::string>& ids) {
  const std::set<std::string> kept(ids.begin(), ids.end());
  std::vector<std::string> gone;
  for (const auto& [id, replica] : replicas_) {
    if (!kept.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    remove(id);
  }
}

void ReplicaDirectory::forget_key(const Replica& replica) {
  const auto found = by_key_.find(replica.key);
  if (found != by_key_.end() && found->second == &replica) {
    by_key_.erase(found);
    paces_.forget(replica.key);
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
    return;  // Its connections work: only outlier detection over all nodes decides.
  }
  ++replica->failures_in_row;
  if (signal == ReplicaSignal::kUnreachable ||
      replica->failures_in_row >= knobs_.replica_ejection_failures) {
    eject(*replica, now);
  }
}

void ReplicaDirectory::eject(Replica& replica, TimePoint now) {
  if (ejected(replica, now)) {
    return;  // Other requests that were in flight fail for the same reason.
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
    if (load.pace) {
      paces_.stated(replica->key, *load.pace, now);
    }
  }
}

bool ReplicaDirectory::first_unreadable_pace(const std::string& id) {
  Replica* replica = mutable_find(id);
  return replica != nullptr && !std::exchange(replica->pace_unreadable, true);
}

bool ReplicaDirectory::turned_away(const std::string& id, TimePoint now) {
  Replica* replica = mutable_find(id);
  if (replica == nullptr) {
    return false;
  }
  const ReportedLoad& reported = replica->reported;
  const bool reported_now = replica->reported_at == now && reported.slots > 0;
  if (reported_now && reported.running < reported.slots) {
    return false;  // It rejected the request for another reason.
  }
  replica->full_until = now + (reported_now ? kReportFresh : knobs_.replica_full_time);
  return true;
}

void ReplicaDirectory::set_peer_loads(const std::vector<LoadDigest>& digests, TimePoint now) {
  for (const LoadDigest& digest : digests) {
    PeerLoad& peer = peers_[digest.node];
    count_peer_load(peer, -1, now);
    peer = {digest.entries, digest.pending_items, now, now};
    count_peer_load(peer, 1, now);
    paces_.add_peer_paces(digest.node, digest.paces, now);
  }
}

void ReplicaDirectory::renew_peer(std::uint32_t node, TimePoint now) {
  if (const auto peer = peers_.find(node); peer != peers_.end()) {
    peer->second.heard = now;
  }
}

std::vector<const Replica*> ReplicaDirectory::update_outliers(TimePoint now) {
  if (std::none_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        return entry.second.outlier || entry.second.failures(now) > 0;
      })) {
    return {};
  }
  std::map<std::string, std::vector<Replica*>> services;
  for (auto& [id, replica] : replicas_) {
    services[replica.record.service].push_back(&replica);
  }
  std::vector<const Replica*> changed;
  for (const auto& [service, replicas] : services) {
    std::vector<double> failures;
    failures.reserve(replicas.size());
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
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    if (now - peer->second.heard > knobs_.load_digest_lifetime) {
      count_peer_load(peer->second, -1, now);
      peer = peers_.erase(peer);
    } else {
      ++peer;
    }
  }
}

Duration ReplicaDirectory::mean_peer_age(TimePoint now) const {
  Duration sum{};
  for (const auto& [node, peer] : peers_) {
    sum += now - peer.received;
  }
  return peers_.empty() ? Duration{} : sum / static_cast<int>(peers_.size());
}

double ReplicaDirectory::prefill_left(double tokens, TimePoint since, TimePoint now) const {
  const double age_ms = std::chrono::duration<double, std::milli>(now - since).count();
  return std::max(0.0, tokens - age_ms * knobs_.prefill_tokens_per_ms);
}

void ReplicaDirectory::count_peer_load(const PeerLoad& peer, int sign, TimePoint now) {
  peer_pending_items_ += sign * static_cast<std::int64_t>(peer.pending_items);
  for (const LoadDigestEntry& entry : peer.entries) {
    PeerSum& sum = peer_sums_[entry.replica_key];
    sum.in_flight += sign * static_cast<int>(entry.in_flight);
    sum.batch += sign * static_cast<int>(std::min(entry.batch, entry.in_flight));
    sum.failures += sign * static_cast<int>(entry.failures);
    // Tokens prefilled since the digest arrived are no longer pending.
    const double left = prefill_left(entry.prefill_tokens, peer.received, now);
    const double before = prefill_left(sum.prefill_tokens, sum.prefill_at, now);
    sum.prefill_tokens = std::max(0.0, before + sign * left);
    sum.prefill_at = now;
    copy_peer_sum(entry.replica_key);
  }
}

void ReplicaDirectory::copy_peer_sum(std::uint32_t key) {
  const auto found = peer_sums_.find(key);
  const PeerSum sum = found == peer_sums_.end() ? PeerSum{} : found->second;
  if (found != peer_sums_.end() && sum.in_flight == 0 && sum.failures == 0 &&
      sum.prefill_tokens <= 0) {
    peer_sums_.erase(found);
  }
  const auto replica = by_key_.find(key);
  if (replica == by_key_.end()) {
    return;
  }
  replica->second->peer_in_flight = sum.in_flight;
  replica->second->peer_batch = sum.batch;
  replica->second->peer_failures = sum.failures;
  replica->second->peer_prefill_tokens = sum.prefill_tokens;
  replica->second->peer_prefill_at = sum.prefill_at;
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

std::optional<std::uint32_t> ReplicaDirectory::claim_peer_item(std::uint32_t replica_key,
                                                               TimePoint now) {
  PeerLoad* most = nullptr;
  LoadDigestEntry* entry_of_most = nullptr;
  std::uint32_t node = 0;
  for (auto& [peer_key, peer] : peers_) {
    for (LoadDigestEntry& entry : peer.entries) {
      const bool more = entry_of_most == nullptr || entry.batch > entry_of_most->batch;
      if (entry.replica_key == replica_key && entry.batch > 0 && more) {
        most = &peer;
        entry_of_most = &entry;
        node = peer_key;
      }
    }
  }
  if (most == nullptr) {
    return std::nullopt;
  }
  count_peer_load(*most, -1, now);
  --entry_of_most->batch;
  entry_of_most->in_flight -= std::min(entry_of_most->in_flight, 1U);
  count_peer_load(*most, 1, now);
  return node;
}

const Replica* ReplicaDirectory::find_key(std::uint32_t replica_key) const {
  const auto found = by_key_.find(replica_key);
  return found == by_key_.end() ? nullptr : found->second;
}

const Replica* ReplicaDirectory::find(const std::string& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

Replica* ReplicaDirectory::mutable_find(const std::string& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

bool ReplicaDirectory::serves(const std::string& service,
                              const std::string& software_version) const {
  return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    const ReplicaRecord& record = entry.second.record;
    return record.service == service && record.software_version == software_version &&
           takes_work(entry.second);
  });
}

std::vector<const Replica*> ReplicaDirectory::ready(const std::string& service) const {
  std::vector<const Replica*> result;
  for (const auto& [id, replica] : replicas_) {
    if (replica.record.service == service && takes_work(replica)) {
      result.push_back(&replica);
    }
  }
  return result;
}

}  // namespace dockpoint
