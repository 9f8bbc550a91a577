#include "dockpoint/batch/due_time.hpp"

namespace dockpoint {

bool DueTime::urgent(const Knobs& knobs, std::int64_t now_ms) const {
  const auto left = static_cast<double>(at_ms - now_ms);
  return left < knobs.batch_urgent_time * static_cast<double>(allowed_ms);
}

DueTime due_time(std::int64_t submitted_ms, Duration target) {
  return {submitted_ms + to_ms(target), to_ms(target)};
}

std::optional<std::int64_t> expiry_time(const Knobs& knobs, std::int64_t submitted_ms,
                                        Duration retention) {
  constexpr int kClocks = 2;
  if (retention <= Duration{}) {
    return std::nullopt;
  }
  return submitted_ms + to_ms(retention + kClocks * knobs.clock_error);
}

}  // namespace dockpoint
