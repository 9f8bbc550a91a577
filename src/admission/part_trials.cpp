#include "dockpoint/admission/part_trials.hpp"

namespace dockpoint {

bool PartTrials::may_begin(const RequestFingerprint& part, TimePoint now) const {
  const auto found = trials_.find(part);
  if (found == trials_.end()) {
    return true;
  }
  const Trials& trials = found->second;
  return trials.count < knobs_.crash_trials && now - trials.last_begun >= pause_after(trials);
}

void PartTrials::begin(const RequestFingerprint& part, TimePoint now) {
  Trials& trials = trials_[part];
  ++trials.count;
  trials.last_begun = now;
}

void PartTrials::forget_old(TimePoint now) {
  std::erase_if(trials_, [&](const auto& entry) {
    return now - entry.second.last_begun > knobs_.crash_memory;
  });
}

Duration PartTrials::pause_after(const Trials& trials) const {
  constexpr int kPauseFactor = 4;
  Duration pause = knobs_.crash_trial_wait;
  for (std::size_t trial = 0; trial < trials.count; ++trial) {
    pause *= kPauseFactor;
  }
  return pause;
}

}  // namespace dockpoint
