#include "dockpoint/admission/stop_admission.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Length of a window over which the longest answer is kept.
constexpr Duration kWindow = std::chrono::seconds(60);

/// Time between the answer of a replica and its last byte at the caller.
constexpr Duration kDeliveryTime = std::chrono::milliseconds(200);

/// Time before the exit at which requests under way get a final answer.
constexpr Duration kFinalAnswerTime = std::chrono::milliseconds(100);

}  // namespace

void AnswerTimes::record(const std::string& route, Duration took, TimePoint now) {
  Windows& windows = routes_[route];
  windows = advanced(windows, now);
  windows.current = std::max(windows.current, took);
}

std::optional<Duration> AnswerTimes::longest(const std::string& route, TimePoint now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return std::nullopt;
  }
  const Windows windows = advanced(found->second, now);
  const Duration longest = std::max(windows.current, windows.previous);
  return longest > Duration{} ? std::optional(longest) : std::nullopt;
}

AnswerTimes::Windows AnswerTimes::advanced(Windows windows, TimePoint now) {
  if (now - windows.began >= 2 * kWindow) {
    return {now, {}, {}};
  }
  if (now - windows.began >= kWindow) {
    return {windows.began + kWindow, {}, windows.current};
  }
  return windows;
}

void StopAdmission::begin(TimePoint exit_at, TimePoint addresses_valid_until) {
  exit_at_ = exit_at;
  addresses_valid_until_ = addresses_valid_until;
}

bool StopAdmission::accepts(TimePoint now, TimePoint limit, std::optional<Duration> usual) const {
  if (!exit_at_ || limit <= last_answer_at()) {
    return true;
  }
  return now <= addresses_valid_until_ && ends_in_time(now, limit, usual);
}

bool StopAdmission::ends_in_time(TimePoint now, TimePoint limit,
                                 std::optional<Duration> usual) const {
  if (!exit_at_ || limit <= last_answer_at()) {
    return true;
  }
  return usual && now + *usual <= last_answer_at();
}

bool StopAdmission::final_answers_due(TimePoint now) const {
  return exit_at_ && now >= *exit_at_ - kFinalAnswerTime;
}

TimePoint StopAdmission::last_answer_at() const {
  return *exit_at_ - kDeliveryTime;
}

}  // namespace dockpoint
