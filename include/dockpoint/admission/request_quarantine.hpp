#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dockpoint/admission/crash_attribution.hpp"
#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/core/knobs.hpp"

/// Quarantines what crashes replicas: online requests (queries of death), and parts of prompts that
/// other requests share. Both are suspects in one table.
///
/// Batch items are never suspects: an item that is accepted is owed, whatever crashed while it ran.
/// Their runs neither accuse nor clear a prompt part. Of a crash under an item only its time
/// counts.
///
/// A suspect is quarantined once enough replicas, anywhere in the fleet, have ended while running
/// it. A single end proves little, since everything else that ran there is equally suspect; a
/// suspect present at several ends is unlikely to be there by chance. Ends are counted per replica
/// incarnation, because several nodes may observe the same one.
///
/// Good runs: a guilty suspect lets no run end well, so a run that ends well clears everything in
/// it of all earlier crashes. That separates a prompt part from those that share its requests.
///
/// Moments: when many replicas crash at one moment for another reason, a part of many prompts ran
/// on several of them. Crashes of a part at one moment count once if it ran well before, or if
/// replicas crashed then that did not run it. Other nodes have a moment to clear a part that ran
/// well before.
///
/// Attribution: see crash_attribution.hpp.
///
/// Trials: a part with few crashes, or that was always beside another quarantined part, may be
/// innocent and is tried again, see part_trials.hpp.
///
/// Evidence expires, so that a request is tried again once the replicas may have been fixed; until
/// the rest of its evidence has expired, one more crash quarantines it again. The evidence of all
/// nodes is a set that only grows until entries expire or are cleared, so merging it is commutative
/// and idempotent.
namespace dockpoint {

/// Effect of a piece of evidence.
enum class EvidenceEffect {
  kKnown,        ///< None: already known, expired or cleared.
  kCounted,      ///< Recorded; the request's state is unchanged.
  kQuarantined,  ///< Recorded; the request is now quarantined.
};

/// Details of a quarantined request or prompt part.
struct QuarantineVerdict {
  RequestFingerprint suspect;
  int crashes = 0;
  Duration since_last_crash{};
  Duration retry_after{};  ///< Until the quarantine ends without new evidence.
  bool trial_due = false;  ///< A prompt part that may be tried, to see if the replica survives.
};

/// See the file comment. Not thread-safe.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(const Knobs& knobs) : knobs_(knobs) {}

  /// Merges a crash reported by this or another node.
  EvidenceEffect take(const CrashEvidence& evidence, TimePoint now);
  /// Records a crash that accuses nobody.
  /// @param replica hash of the id of the replica incarnation.
  void note_crash(std::uint64_t replica, TimePoint ended_at);
  /// Merges a clearance of a suspect.
  /// @return whether the clearance was new; for one by a good run, whether it voided evidence.
  bool take(const RequestClearance& clearance, TimePoint now);

  /// @return details of the quarantine, or nothing if the request is not quarantined.
  std::optional<QuarantineVerdict> check(const RequestFingerprint& request, TimePoint now) const;
  /// @return details of the quarantine of the first quarantined part, or nothing if none is. A
  /// trial is due if it is for each of them, and later where they are several: a part is tried
  /// alone if it can be, since of several a crash says less.
  std::optional<QuarantineVerdict> check_parts(const std::vector<RequestFingerprint>& parts,
                                               TimePoint now) const;
  /// @return whether there are crashes that count against a suspect.
  bool accused(const RequestFingerprint& suspect) const;
  /// @return whether a suspect is quarantined, or about to be.
  bool reached_limit(const RequestFingerprint& suspect, TimePoint now) const;
  /// @return whether there is no evidence at all, so that no request needs a fingerprint.
  bool empty() const { return entries_.empty(); }
  /// @return the evidence and clearance of a request, to send to other nodes.
  CrashReport report(const RequestFingerprint& request) const;
  /// @return quarantined and cleared requests, whose state must reach the other nodes.
  std::vector<RequestFingerprint> decided(TimePoint now) const;
  /// @return number of quarantined requests.
  std::size_t quarantined(TimePoint now) const;
  /// @return number of requests with evidence or a clearance.
  std::size_t size() const { return entries_.size(); }
  /// Drops expired evidence and clearances; to be called periodically.
  void forget_old(TimePoint now);

 private:
  using Entry = Suspect;

  bool is_expired(TimePoint time, TimePoint now) const { return now - time > knobs_.crash_memory; }
  /// @return times of the crashes that count against the suspect, newest first; of a part, one for
  /// each moment whose crashes do not point to it.
  std::vector<TimePoint> attributed_crash_times(const Entry& entry, TimePoint now) const;
  bool is_quarantined(const Entry& entry, TimePoint now) const;
  /// @param times of crashes of a part, in ascending order. @return the same, with only the first
  /// time of each moment whose crashes do not point to the part.
  std::vector<TimePoint> merge_unspecific_moments(const Entry& part,
                                                  const std::vector<TimePoint>& times) const;
  /// @return whether replicas that did not run the part crashed from shortly before `from` to `to`.
  bool crashes_without(const Entry& part, TimePoint from, TimePoint to) const;
  /// @return whether a trial of a quarantined prompt part that may be innocent is due.
  /// @param crashes the result of `attributed_crash_times`.
  bool trial_due(const Entry& part, const std::vector<TimePoint>& crashes, TimePoint now) const;
  /// Evicts the request with the fewest crashes (counted up to the quarantine limit); among equals
  /// the one whose most recent event is oldest.
  void evict_one();

  const Knobs& knobs_;
  std::map<RequestFingerprint, Entry> entries_;
  std::map<std::uint64_t, TimePoint> replica_crashes_;  ///< Crash times by replica incarnation.
};

}  // namespace dockpoint
