#include "dockpoint/admission/good_run_memory.hpp"

#include <algorithm>

namespace dockpoint {

void GoodRunMemory::record(const RequestFingerprint& suspect, TimePoint now) {
  const auto [entry, added] = last_.try_emplace(suspect, now);
  if (!added) {
    const auto [first, end] = by_time_.equal_range(entry->second);
    for (auto known = first; known != end; ++known) {
      if (known->second == suspect) {
        by_time_.erase(known);
        break;
      }
    }
    entry->second = now;
  }
  by_time_.emplace(now, suspect);
  if (last_.size() > capacity_) {
    last_.erase(by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
  }
}

std::optional<TimePoint> GoodRunMemory::last(const RequestFingerprint& suspect) const {
  const auto found = last_.find(suspect);
  return found == last_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<RequestClearance> GoodRunMemory::clearances_against(const CrashReport& report,
                                                                std::size_t limit) const {
  struct Crashes {
    std::size_t count = 0;
    TimePoint first = TimePoint::max();
  };
  std::map<RequestFingerprint, Crashes> reported;
  for (const CrashEvidence& evidence : report.evidence) {
    Crashes& crashes = reported[evidence.request];
    ++crashes.count;
    crashes.first = std::min(crashes.first, evidence.ended_at);
  }
  std::vector<RequestClearance> clearances;
  for (const auto& [suspect, crashes] : reported) {
    const std::optional<TimePoint> ran_well = last(suspect);
    if (crashes.count >= limit && ran_well && *ran_well > crashes.first) {
      clearances.push_back({suspect, *ran_well, true});
    }
  }
  return clearances;
}

}  // namespace dockpoint
