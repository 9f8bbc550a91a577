#pragma once

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// A count of events that forgets: an event counts for one when it happens and for a third after
/// `memory`. Free of clocks.
class DecayingCount {
 public:
  explicit DecayingCount(Duration memory) : memory_(memory) {}

  /// @param weight counts as so many events.
  void add(TimePoint now, double weight = 1);
  /// @return events, each for what it still counts.
  double value(TimePoint now) const;
  /// @return events a second.
  double per_second(TimePoint now) const;

 private:
  Duration memory_;
  double count_ = 0;
  TimePoint last_{};
};

}  // namespace dockpoint
