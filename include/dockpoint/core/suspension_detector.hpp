#pragma once

#include <optional>

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Detects suspensions of the machine by comparing a clock that includes suspended time with one
/// that does not.
class SuspensionDetector {
 public:
  /// Shorter suspensions are not reported.
  static constexpr Duration kShortest = std::chrono::milliseconds(50);

  /// @param now reading of the clock that includes suspended time.
  /// @param running reading of the clock that excludes it, taken after `now`, so that a preemption
  /// between the two readings is not reported as a suspension.
  /// @return the suspended time since the last call, or nothing if there was none.
  std::optional<Duration> check(TimePoint now, TimePoint running) {
    const Duration ahead = now - running;
    const Duration suspended = ahead - ahead_.value_or(ahead);
    const bool reported = suspended >= kShortest;
    if (reported || !ahead_) {
      ahead_ = ahead;
    }
    return reported ? std::optional(suspended) : std::nullopt;
  }

 private:
  std::optional<Duration> ahead_;  ///< Last recorded lead of `now` over `running`.
};

}  // namespace dockpoint
