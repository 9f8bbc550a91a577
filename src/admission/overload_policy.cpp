#include "dockpoint/admission/overload_policy.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

std::optional<Duration> OverloadPolicy::refuse(const std::string& route,
                                               const OverloadInput& question,
                                               std::uint64_t spread) {
  Duration& longest = longest_time_left_[route];
  longest = std::max(longest, question.time_left);
  const bool full_time_left = question.time_left >= longest * knobs_.overload_whole_time;
  const bool late = question.objective > Duration{} &&
                    question.expected_wait > question.objective * knobs_.overload_objectives;
  if (!late || !full_time_left) {
    return std::nullopt;
  }
  const double position = fraction_of(spread);
  const double share = knobs_.overload_return_earliest +
                       position * (knobs_.overload_return_latest - knobs_.overload_return_earliest);
  return std::chrono::duration_cast<Duration>(question.time_left * share);
}

}  // namespace dockpoint
