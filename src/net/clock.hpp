#pragma once

#include <chrono>
#include <cstdint>

#include "dockpoint/core/time.hpp"

namespace dockpoint::net {

/// @return the steady clock as decision time.
inline TimePoint steady_now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// @return milliseconds since the Unix epoch.
inline std::int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace dockpoint::net
