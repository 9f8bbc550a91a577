#include "dockpoint/streaming/stream_pace.hpp"

namespace dockpoint {
namespace {

/// Minimum events after the first ones for a mean time between two events.
constexpr int kMinimumSteps = 4;

}  // namespace

void StreamPace::take(std::string_view bytes, TimePoint now) {
  const int before = events_;
  for (const char byte : bytes) {
    if (byte == '\n') {
      events_ += line_empty_ ? 1 : 0;  // An empty line ends an event.
      line_empty_ = !line_empty_;
    } else if (byte != '\r') {
      line_empty_ = false;
    }
  }
  if (events_ == before) {
    return;
  }
  if (before == 0) {
    first_events_ = events_;
    first_ = now;
  }
  last_ = now;
}

std::optional<Duration> StreamPace::step() const {
  const int steps = events_ - first_events_;
  if (steps < kMinimumSteps) {
    return std::nullopt;
  }
  return (last_ - first_) / steps;
}

}  // namespace dockpoint
