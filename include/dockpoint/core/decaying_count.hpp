#pragma once

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Exponentially decaying count of events: an event counts as one when it happens and as about a
/// third (1/e) after `memory`. Reads no clock.
class DecayingCount {
 public:
  explicit DecayingCount(Duration memory) : memory_(memory) {}

  /// @param weight number of events that this one counts as.
  void add(TimePoint now, double weight = 1);
  /// @return the decayed number of events.
  double value(TimePoint now) const;
  /// @return the decayed rate, in events per second.
  double per_second(TimePoint now) const;

 private:
  Duration memory_;
  double count_ = 0;
  TimePoint last_{};
};

}  // namespace dockpoint
