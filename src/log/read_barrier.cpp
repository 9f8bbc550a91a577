#include "dockpoint/log/read_barrier.hpp"

#include <utility>

namespace dockpoint {

ReadBarrier::ReadBarrier(const Knobs& knobs, PartitionedLog& log, TopicPartition partition,
                         Position position, Passed passed)
    : knobs_(knobs),
      log_(log),
      partition_(std::move(partition)),
      position_(std::move(position)),
      passed_(std::move(passed)) {}

ReadBarrier::~ReadBarrier() {
  state_->alive = false;
}

void ReadBarrier::request(TimePoint as_of, TimePoint now) {
  const bool served = state_->end && state_->end->as_of >= as_of;
  if (served || state_->read_pending || now < next_read_at_) {
    return;
  }
  next_read_at_ = now + knobs_.read_barrier_interval;
  state_->read_pending = true;
  const ReadTimes times{Duration{}, knobs_.stream_origin_confirmation_limit};
  log_.read(partition_, position_(), times,
            [this, state = state_, now](const ReadOutcome& outcome) {
              if (!state->alive) {
                return;
              }
              state->read_pending = false;
              if (outcome.status == LogStatus::kOk) {
                tick();  // The view may have reached the end that was read before.
                state->end = End{now, outcome.end};
                tick();
              }
            });
}

void ReadBarrier::tick() {
  if (!state_->end || position_() < state_->end->offset) {
    return;
  }
  const TimePoint as_of = state_->end->as_of;
  state_->end.reset();
  passed_(as_of);
}

}  // namespace dockpoint
