#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

#include "dockpoint/core/time.hpp"

namespace dockpoint::net {

/// @return the current value of the given system clock.
inline TimePoint read_clock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

/// @return monotonic time used for decisions. It includes time during which the machine was
/// suspended, so that state recorded before a suspension has its true age.
inline TimePoint steady_now() {
  return read_clock(CLOCK_BOOTTIME);
}

/// @return monotonic time, excluding time during which the machine was suspended.
inline TimePoint running_now() {
  return read_clock(CLOCK_MONOTONIC);
}

/// @return milliseconds since the Unix epoch.
inline std::int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dockpoint::net
