#include "simulation/event_queue.hpp"

#include <algorithm>

namespace dockpoint::simulation {

void EventQueue::at(TimePoint time, Action action) {
  events_.push(Event{std::max(time, now_), next_sequence_++, std::move(action)});
}

void EventQueue::run_until(TimePoint time) {
  while (!events_.empty() && events_.top().time <= time) {
    now_ = events_.top().time;
    const Action action = std::move(const_cast<Event&>(events_.top()).action);
    events_.pop();
    ++executed_;
    action();
  }
  now_ = std::max(now_, time);
}

}  // namespace dockpoint::simulation
