#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/core/knobs.hpp"

/// Attributes crashes to suspects: which of a suspect's crashes another suspect explains.
///
/// A crash takes down everything that runs on a replica, so each part of each prompt there, and
/// each request, is suspect. Good runs clear most of them (see request_quarantine.hpp). What
/// remains is attributed:
/// - A prompt part of a crashing request is in all of its crashes. Those of one quarantined online
///   request do not count against the part; those of further ones do.
/// - A common part is in the prompts of most requests that a rare part crashes. Of two parts, the
///   one that no run has ended well with explains the crashes of the one that ran well before.
namespace dockpoint {

/// What is known of a suspect.
struct Suspect {
  std::map<std::uint64_t, TimePoint> crashes;  ///< End times by replica incarnation.
  bool prompt_part = false;
  bool ran_well_before = false;       ///< A run of it had ended well before a crash.
  std::set<std::uint64_t> explained;  ///< Subset of `crashes`: others are to blame.
  /// Subset of `crashes` of a part at which other quarantined parts ran.
  std::set<std::uint64_t> shared;
  std::optional<TimePoint> cleared_at{};  ///< Earlier crashes count for nothing.
  bool cleared_by_run = false;            ///< A good run cleared it last, not an operator.
};

/// Recomputes `explained` and `shared` of all suspects.
void attribute_crashes(std::map<RequestFingerprint, Suspect>& suspects, const Knobs& knobs);

}  // namespace dockpoint
