#pragma once

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Records request latencies as seen by callers; implemented by the metrics.
class LatencyRecorder {
 public:
  virtual ~LatencyRecorder() = default;
  /// Records the time from the arrival of a request to its first token.
  virtual void first_token(Duration time) = 0;
  /// Records the time from the arrival of a request to the end of its response.
  virtual void whole_answer(Duration time) = 0;
};

}  // namespace dockpoint
