#pragma once

#include <map>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/core/knobs.hpp"

namespace dockpoint {

/// Decides when a quarantined prompt part may be tried again at a node that runs its trials. A few
/// trials, each after a longer pause, since a guilty part ends one more replica each time.
///
/// Not thread-safe; borrows the knobs.
class PartTrials {
 public:
  explicit PartTrials(const Knobs& knobs) : knobs_(knobs) {}

  /// @return whether a trial may begin now.
  bool may_begin(const RequestFingerprint& part, TimePoint now) const;
  /// Records that a trial begins.
  void begin(const RequestFingerprint& part, TimePoint now);
  /// Forgets the trials of a part with which a run ended well.
  void clear(const RequestFingerprint& part) { trials_.erase(part); }
  /// Forgets trials as old as crashes that no longer count; to be called periodically.
  void forget_old(TimePoint now);

 private:
  struct Trials {
    std::size_t count = 0;
    TimePoint last_begun{};
  };

  /// @return the pause after a trial.
  Duration pause_after(const Trials& trials) const;

  const Knobs& knobs_;
  std::map<RequestFingerprint, Trials> trials_;
};

}  // namespace dockpoint
