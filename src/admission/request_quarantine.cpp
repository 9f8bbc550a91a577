#include "dockpoint/admission/request_quarantine.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace dockpoint {
namespace {

/// Ages in reports exclude the transmission delay, so a relayed event appears later by up to this
/// much.
constexpr Duration kMaxReportDelay = std::chrono::seconds(2);

/// An item with this many times the crashes of the limit is not excused by other requests' crashes.
constexpr std::size_t kMaxExcusedFactor = 2;

}  // namespace

EvidenceEffect RequestQuarantine::take(const CrashEvidence& evidence, TimePoint now) {
  if (is_expired(evidence.ended_at, now)) {
    return EvidenceEffect::kKnown;
  }
  if (!entries_.contains(evidence.request) && entries_.size() >= knobs_.crash_requests) {
    evict_one();
  }
  Entry& entry = entries_[evidence.request];
  const bool cleared = entry.cleared_at && evidence.ended_at <= *entry.cleared_at;
  const auto known = entry.crashes.find(evidence.replica);
  if (known != entry.crashes.end()) {
    known->second = std::min(known->second, evidence.ended_at);
  }
  if (cleared || known != entry.crashes.end()) {
    return EvidenceEffect::kKnown;
  }
  const bool before = is_quarantined(entry, now);
  replica_crashes_.try_emplace(evidence.replica, evidence.ended_at);
  entry.batch = evidence.batch;
  entry.crashes[evidence.replica] = evidence.ended_at;
  if (entry.crashes.size() > knobs_.crashes_per_request) {
    const auto oldest = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    entry.crashes.erase(oldest);
  }
  attribute_crashes();
  return !before && is_quarantined(entry, now) ? EvidenceEffect::kQuarantined
                                               : EvidenceEffect::kCounted;
}

bool RequestQuarantine::take(const RequestClearance& clearance, TimePoint now) {
  const auto found = entries_.find(clearance.request);
  const bool known = found != entries_.end() && found->second.cleared_at &&
                     *found->second.cleared_at + kMaxReportDelay >= clearance.cleared_at;
  if (known || is_expired(clearance.cleared_at, now)) {
    return false;
  }
  if (found == entries_.end() && entries_.size() >= knobs_.crash_requests) {
    evict_one();
  }
  Entry& entry = entries_[clearance.request];
  entry.cleared_at = clearance.cleared_at;
  std::erase_if(entry.crashes, [&](const auto& end) { return end.second <= clearance.cleared_at; });
  attribute_crashes();
  return true;
}

std::optional<QuarantineVerdict> RequestQuarantine::check(const RequestFingerprint& request,
                                                          TimePoint now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const std::vector<TimePoint> times = attributed_crash_times(found->second, now);
  if (times.size() < knobs_.crash_limit) {
    return std::nullopt;
  }
  const Duration age = now - times[knobs_.crash_limit - 1];
  return QuarantineVerdict{static_cast<int>(times.size()), now - times.front(),
                           knobs_.crash_memory - age, trial_due(found->second, times, now)};
}

bool RequestQuarantine::is_isolated(std::uint64_t replica, TimePoint ended_at) const {
  return std::none_of(replica_crashes_.begin(), replica_crashes_.end(), [&](const auto& other) {
    const Duration apart = other.second - ended_at;
    return other.first != replica && std::chrono::abs(apart) <= knobs_.crash_coincidence;
  });
}

bool RequestQuarantine::is_doubtful(const Entry& entry) const {
  const auto conclusive = static_cast<std::size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(), [&](const auto& crash) {
        return !entry.shared.contains(crash.first) && is_isolated(crash.first, crash.second);
      }));
  return conclusive + 1 < knobs_.crash_limit;
}

bool RequestQuarantine::trial_due(const Entry& entry, const std::vector<TimePoint>& crashes,
                                  TimePoint now) const {
  constexpr int kWaitFactor = 4;
  const std::size_t trials = entry.crashes.size() - knobs_.crash_limit;
  if (!entry.batch || trials >= knobs_.crash_trials || !is_doubtful(entry)) {
    return false;
  }
  Duration wait = knobs_.crash_trial_wait;
  for (std::size_t trial = 0; trial < trials; ++trial) {
    wait *= kWaitFactor;
  }
  return now - crashes.front() >= wait;
}

CrashReport RequestQuarantine::report(const RequestFingerprint& request) const {
  CrashReport report;
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return report;
  }
  for (const auto& [replica, ended_at] : found->second.crashes) {
    report.evidence.push_back({request, replica, ended_at, found->second.batch});
  }
  if (found->second.cleared_at) {
    report.clearances.push_back({request, *found->second.cleared_at});
  }
  return report;
}

std::vector<RequestFingerprint> RequestQuarantine::decided(TimePoint now) const {
  std::vector<RequestFingerprint> requests;
  for (const auto& [request, entry] : entries_) {
    if (entry.cleared_at || is_quarantined(entry, now)) {
      requests.push_back(request);
    }
  }
  return requests;
}

std::size_t RequestQuarantine::quarantined(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [&](const auto& entry) { return is_quarantined(entry.second, now); }));
}

void RequestQuarantine::forget_old(TimePoint now) {
  for (auto& [request, entry] : entries_) {
    std::erase_if(entry.crashes, [&](const auto& end) { return is_expired(end.second, now); });
    if (entry.cleared_at && is_expired(*entry.cleared_at, now)) {
      entry.cleared_at.reset();
    }
  }
  std::erase_if(entries_, [](const auto& request_entry) {
    const Entry& entry = request_entry.second;
    return entry.crashes.empty() && !entry.cleared_at;
  });
  std::erase_if(replica_crashes_, [&](const auto& end) { return is_expired(end.second, now); });
  attribute_crashes();
}

void RequestQuarantine::attribute_crashes() {
  std::vector<std::pair<RequestFingerprint, Entry*>> suspects;
  for (auto& [request, entry] : entries_) {
    entry.attributed_elsewhere.clear();
    entry.shared.clear();
    if (entry.crashes.size() >= knobs_.crash_limit) {
      suspects.emplace_back(request, &entry);
    }
  }
  if (!knobs_.crash_attribution) {
    return;
  }
  std::set<std::uint64_t> of_online_requests;
  std::map<std::uint64_t, int> items_at_crash;
  for (const auto& [request, entry] : suspects) {
    for (const auto& [replica, ended_at] : entry->crashes) {
      if (entry->batch) {
        ++items_at_crash[replica];
      } else {
        of_online_requests.insert(replica);
      }
    }
  }
  for (const auto& [request, entry] : suspects) {
    const bool excusable = entry->crashes.size() < kMaxExcusedFactor * knobs_.crash_limit;
    for (const auto& [replica, ended_at] : entry->crashes) {
      if (entry->batch && excusable && of_online_requests.contains(replica)) {
        entry->attributed_elsewhere.insert(replica);
      }
      if (entry->batch && items_at_crash[replica] > 1) {
        entry->shared.insert(replica);
      }
    }
  }
}

std::vector<TimePoint> RequestQuarantine::attributed_crash_times(const Entry& entry,
                                                                 TimePoint now) const {
  std::vector<TimePoint> times;
  for (const auto& [replica, ended_at] : entry.crashes) {
    if (!is_expired(ended_at, now) && !entry.attributed_elsewhere.contains(replica)) {
      times.push_back(ended_at);
    }
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times;
}

bool RequestQuarantine::is_quarantined(const Entry& entry, TimePoint now) const {
  return attributed_crash_times(entry, now).size() >= knobs_.crash_limit;
}

void RequestQuarantine::evict_one() {
  const auto newest_change = [](const Entry& entry) {
    TimePoint newest = entry.cleared_at.value_or(TimePoint{});
    for (const auto& [replica, ended_at] : entry.crashes) {
      newest = std::max(newest, ended_at);
    }
    return newest;
  };
  const auto least =
      std::min_element(entries_.begin(), entries_.end(), [&](const auto& left, const auto& right) {
        const auto rank = [&](const Entry& entry) {
          return std::pair(std::min(entry.crashes.size(), knobs_.crash_limit),
                           newest_change(entry));
        };
        return rank(left.second) < rank(right.second);
      });
  entries_.erase(least);
}

}  // namespace dockpoint
