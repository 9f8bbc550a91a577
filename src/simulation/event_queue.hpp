#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "dockpoint/core/time.hpp"

namespace dockpoint::simulation {

/// Discrete-event scheduler with a simulated clock. Events run in order of time; events with equal
/// times run in the order in which they were scheduled.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return now_; }

  void at(TimePoint time, Action action);
  void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }

  /// Runs all events due up to and including `time`, then sets the clock to `time`.
  void run_until(TimePoint time);

  std::uint64_t executed() const { return executed_; }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace dockpoint::simulation
