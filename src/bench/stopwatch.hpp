#pragma once

#include <chrono>

namespace dockpoint::bench {

/// Milliseconds since `start` on the steady clock.
inline double milliseconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace dockpoint::bench
