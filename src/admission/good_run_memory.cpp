#include "dockpoint/admission/good_run_memory.hpp"

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

}  // namespace dockpoint
