#pragma once

#include <deque>

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Count of events in a sliding window. Events are grouped in time slots, so an event may be
/// counted for up to one slot longer than the window, but never for less. Reads no clock.
class SlidingWindowCount {
 public:
  explicit SlidingWindowCount(Duration length) : length_(length) {}

  /// @param weight number of events that this one counts as; negative to correct earlier ones.
  void add(TimePoint now, double weight = 1);
  /// @return number of events in the window that ends at `now`.
  double value(TimePoint now);

 private:
  struct Slot {
    TimePoint begin{};
    double count = 0;
  };

  Duration slot_length() const;

  Duration length_;
  std::deque<Slot> slots_;  ///< Oldest first.
  double total_ = 0;
};

}  // namespace dockpoint
