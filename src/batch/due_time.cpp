#include "dockpoint/batch/due_time.hpp"

namespace dockpoint {

bool DueTime::urgent(const Knobs& knobs, std::int64_t now_ms) const {
  const auto left = static_cast<double>(at_ms - now_ms);
  return left < knobs.batch_urgent_time * static_cast<double>(allowed_ms);
}

DueTime due_time(std::int64_t submitted_ms, Duration target) {
  return {submitted_ms + to_ms(target), to_ms(target)};
}

bool retention_expired(const Knobs& knobs, std::int64_t submitted_ms, Duration retention,
                       std::int64_t now_ms) {
  constexpr int kClocks = 2;
  return retention > Duration{} &&
         now_ms > submitted_ms + to_ms(retention + kClocks * knobs.clock_error);
}

}  // namespace dockpoint
