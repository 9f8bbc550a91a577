#include "dockpoint/routing/cold_replica_limiter.hpp"

#include <algorithm>
#include <chrono>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Bucket size: a sender may send one request at once, so that rare requests do not wait.
constexpr double kBurst = 1.0;

/// At this number of buckets, full ones are dropped; a missing bucket counts as full.
constexpr std::size_t kMaxBuckets = 1024;

double seconds_between(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

double ColdReplicaLimiter::rate_of(const std::string& service) const {
  const auto rate = rates_.find(service);
  return rate == rates_.end() ? 0 : rate->second;
}

bool ColdReplicaLimiter::limits_any() const {
  return std::any_of(rates_.begin(), rates_.end(),
                     [](const auto& rate) { return rate.second > 0; });
}

double ColdReplicaLimiter::sender_rate(const std::string& service) const {
  constexpr double kMinRate = 0.1;  // One request in 10 s if the bound leaves no capacity.
  const auto senders = static_cast<double>(knobs_.cold_senders);
  const double carried = rate_of(service);
  const double allowed = carried * bound_.overage + bound_.slack;
  return std::max(kMinRate, std::min(carried / senders, allowed / (2 * senders) - kBurst));
}

void ColdReplicaLimiter::set_members(std::vector<std::string> members) {
  members_ = std::move(members);
  sender_of_.clear();
}

bool ColdReplicaLimiter::is_sender(std::uint32_t replica_key) const {
  if (members_.size() <= 1) {
    return !others_expected_;
  }
  const auto known = sender_of_.find(replica_key);
  if (known != sender_of_.end()) {
    return known->second;
  }
  const auto rank = [&](const std::string& member) { return hash64(member, replica_key); };
  const std::uint64_t own = rank(node_);
  const auto higher = std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
    return member != node_ && rank(member) > own;
  });
  const bool sender = static_cast<std::size_t>(higher) < knobs_.cold_senders;
  sender_of_[replica_key] = sender;
  return sender;
}

double ColdReplicaLimiter::tokens(const std::string& service, std::uint32_t replica_key,
                                  TimePoint now) const {
  const auto bucket = buckets_.find(replica_key);
  if (bucket == buckets_.end()) {
    return kBurst;
  }
  const double filled = seconds_between(bucket->second.filled, now) * sender_rate(service);
  return std::min(kBurst, bucket->second.tokens + filled);
}

bool ColdReplicaLimiter::admits(const std::string& service, std::uint32_t replica_key,
                                TimePoint now) const {
  if (rate_of(service) <= 0) {
    return true;
  }
  return is_sender(replica_key) && tokens(service, replica_key, now) >= 1;
}

void ColdReplicaLimiter::sent(const std::string& service, std::uint32_t replica_key,
                              TimePoint now) {
  if (rate_of(service) <= 0) {
    return;
  }
  if (buckets_.size() >= kMaxBuckets) {
    std::erase_if(buckets_,
                  [&](const auto& entry) { return tokens(service, entry.first, now) >= kBurst; });
  }
  const double left = tokens(service, replica_key, now) - 1;
  buckets_[replica_key] = {left, now};
}

}  // namespace dockpoint
