#pragma once

#include <chrono>
#include <cstdint>

/// Time types of the decision logic.
///
/// Decision classes never read a clock: every call passes `now`. The daemon derives it from the
/// steady clock, the simulator from its event queue.
namespace dockpoint {

/// All decisions have a resolution of microseconds.
using Duration = std::chrono::microseconds;

/// Tag for time points that come from a monotonic source outside the decision logic.
struct MonotonicTime {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTime, Duration>;
};

using TimePoint = MonotonicTime::time_point;

/// Seconds since the Unix epoch, for values that leave the process (such as `created_at`).
using UnixSeconds = std::int64_t;

/// @return the duration in whole milliseconds, truncated.
constexpr std::int64_t to_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace dockpoint
