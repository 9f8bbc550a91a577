#include "dockpoint/admission/request_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dockpoint {
namespace {

/// Ages in reports exclude the transmission delay, so a relayed event appears later by up to this
/// much.
constexpr Duration kMaxReportDelay = std::chrono::seconds(2);

/// A prompt part with this many attributed crashes beyond the limit is guilty, unless another
/// quarantined part was present at all of them.
constexpr std::size_t kConclusiveExtraCrashes = 2;

/// The wait for a trial, relative to that for the trial before.
constexpr int kWaitFactor = 4;

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
  note_crash(evidence.replica, evidence.ended_at);
  entry.prompt_part = entry.prompt_part || evidence.prompt_part;
  entry.ran_well_before = entry.ran_well_before || evidence.ran_well_before;
  entry.crashes[evidence.replica] = evidence.ended_at;
  if (entry.crashes.size() > knobs_.crashes_per_request) {
    const auto oldest = std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    entry.crashes.erase(oldest);
  }
  attribute_crashes(entries_, knobs_);
  return !before && is_quarantined(entry, now) ? EvidenceEffect::kQuarantined
                                               : EvidenceEffect::kCounted;
}

void RequestQuarantine::note_crash(std::uint64_t replica, TimePoint ended_at) {
  replica_crashes_.try_emplace(replica, ended_at);
}

bool RequestQuarantine::take(const RequestClearance& clearance, TimePoint now) {
  const auto found = entries_.find(clearance.request);
  // Clearances by runs follow each other closely, and each one counts to the moment.
  const bool exact = clearance.by_run || (found != entries_.end() && found->second.cleared_by_run);
  const Duration tolerance = exact ? Duration{} : kMaxReportDelay;
  const bool known = found != entries_.end() && found->second.cleared_at &&
                     *found->second.cleared_at + tolerance >= clearance.cleared_at;
  if (known || is_expired(clearance.cleared_at, now)) {
    return false;
  }
  if (found == entries_.end() && entries_.size() >= knobs_.crash_requests) {
    evict_one();
  }
  Entry& entry = entries_[clearance.request];
  entry.cleared_at = clearance.cleared_at;
  entry.cleared_by_run = clearance.by_run;
  entry.ran_well_before = entry.ran_well_before || clearance.by_run;
  const std::size_t voided = std::erase_if(
      entry.crashes, [&](const auto& end) { return end.second <= clearance.cleared_at; });
  attribute_crashes(entries_, knobs_);
  return !clearance.by_run || voided > 0;
}

std::optional<QuarantineVerdict> RequestQuarantine::check(const RequestFingerprint& request,
                                                          TimePoint now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const std::vector<TimePoint> times = attributed_crash_times(entry, now);
  if (times.size() < knobs_.crash_limit) {
    return std::nullopt;
  }
  const TimePoint limit_reached = times[times.size() - knobs_.crash_limit];
  if (entry.prompt_part && entry.ran_well_before && now - limit_reached < knobs_.crash_part_grace) {
    return std::nullopt;
  }
  const Duration age = now - times[knobs_.crash_limit - 1];
  return QuarantineVerdict{request, static_cast<int>(times.size()), now - times.front(),
                           knobs_.crash_memory - age, trial_due(found->second, times, now)};
}

std::optional<QuarantineVerdict> RequestQuarantine::check_parts(
    const std::vector<RequestFingerprint>& parts, TimePoint now) const {
  std::vector<QuarantineVerdict> verdicts;
  for (const RequestFingerprint& part : parts) {
    if (const std::optional<QuarantineVerdict> verdict = check(part, now)) {
      verdicts.push_back(*verdict);
    }
  }
  if (verdicts.empty()) {
    return std::nullopt;
  }
  const Duration wait = knobs_.crash_trial_wait * (verdicts.size() > 1 ? kWaitFactor : 1);
  verdicts.front().trial_due =
      std::all_of(verdicts.begin(), verdicts.end(), [&](const QuarantineVerdict& verdict) {
        return verdict.trial_due && verdict.since_last_crash >= wait;
      });
  return verdicts.front();
}

bool RequestQuarantine::trial_due(const Entry& part, const std::vector<TimePoint>& crashes,
                                  TimePoint now) const {
  const bool conclusive = crashes.size() >= knobs_.crash_limit + kConclusiveExtraCrashes &&
                          part.shared.size() < part.crashes.size();
  return part.prompt_part && !conclusive && now - crashes.front() >= knobs_.crash_trial_wait;
}

bool RequestQuarantine::accused(const RequestFingerprint& suspect) const {
  const auto found = entries_.find(suspect);
  return found != entries_.end() && !found->second.crashes.empty();
}

bool RequestQuarantine::reached_limit(const RequestFingerprint& suspect, TimePoint now) const {
  const auto found = entries_.find(suspect);
  return found != entries_.end() && is_quarantined(found->second, now);
}

CrashReport RequestQuarantine::report(const RequestFingerprint& request) const {
  CrashReport report;
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return report;
  }
  for (const auto& [replica, ended_at] : found->second.crashes) {
    report.evidence.push_back(
        {request, replica, ended_at, found->second.prompt_part, found->second.ran_well_before});
  }
  if (found->second.cleared_at) {
    report.clearances.push_back({request, *found->second.cleared_at, found->second.cleared_by_run});
  }
  return report;
}

std::vector<RequestFingerprint> RequestQuarantine::decided(TimePoint now) const {
  std::vector<RequestFingerprint> requests;
  for (const auto& [request, entry] : entries_) {
    // A clearance by a run would seem newer at each node that relays it: only its origin sends it.
    if ((entry.cleared_at && !entry.cleared_by_run) || is_quarantined(entry, now)) {
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
  attribute_crashes(entries_, knobs_);
}

std::vector<TimePoint> RequestQuarantine::attributed_crash_times(const Entry& entry,
                                                                 TimePoint now) const {
  std::vector<TimePoint> times;
  for (const auto& [replica, ended_at] : entry.crashes) {
    if (!is_expired(ended_at, now) && !entry.explained.contains(replica)) {
      times.push_back(ended_at);
    }
  }
  std::sort(times.begin(), times.end());
  if (entry.prompt_part) {
    times = merge_unspecific_moments(entry, times);
  }
  std::reverse(times.begin(), times.end());
  return times;
}

std::vector<TimePoint> RequestQuarantine::merge_unspecific_moments(
    const Entry& part, const std::vector<TimePoint>& times) const {
  std::vector<TimePoint> merged;
  for (auto first = times.begin(); first != times.end();) {
    const TimePoint end = *first + knobs_.crash_coincidence;
    const auto next = std::upper_bound(first, times.end(), end);
    const bool specific = !part.ran_well_before && !crashes_without(part, *first, end);
    merged.insert(merged.end(), first, specific ? next : std::next(first));
    first = next;
  }
  return merged;
}

bool RequestQuarantine::crashes_without(const Entry& part, TimePoint from, TimePoint to) const {
  return std::any_of(replica_crashes_.begin(), replica_crashes_.end(), [&](const auto& crash) {
    return crash.second >= from - knobs_.crash_coincidence && crash.second <= to &&
           !part.crashes.contains(crash.first);
  });
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
