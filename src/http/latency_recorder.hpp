#pragma once

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Takes the times that callers feel; the metrics implement it.
class LatencyRecorder {
 public:
  virtual ~LatencyRecorder() = default;
  /// From the arrival of a request to its first token.
  virtual void first_token(Duration time) = 0;
  /// From the arrival of a request to the end of its answer.
  virtual void whole_answer(Duration time) = 0;
};

}  // namespace dockpoint
