#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/core/knobs.hpp"

/// Quarantines requests that crash replicas (queries of death).
///
/// A request is quarantined once enough replicas, anywhere in the fleet, have ended while running
/// it. A single end proves little, since every other request that ran there is equally suspect; a
/// request present at several ends is unlikely to be there by chance. Ends are counted per replica
/// incarnation, because several nodes may observe the same one.
///
/// Attribution: dockpoint itself retries a batch item until it completes, so an innocent item may
/// be rescheduled after each crash onto the next replica that a crashing request hits, and be
/// present every time. A crash therefore counts against an item only if no quarantined online
/// request was running there too, up to a number of crashes. An online request is retried a few
/// times at most, so all of its crashes count against it.
///
/// Trials: a crash says little about an item if other replicas crashed at the same moment, or if
/// other suspected items ran there. An item with too few other crashes is quarantined, but soon run
/// again by the node that owns it. If the replica survives, the item is cleared at all nodes; if it
/// crashes, the item waits longer for its next trial. The number of trials is bounded; it follows
/// from the number of crashes, so all nodes agree on it.
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

/// Details of a quarantined request.
struct QuarantineVerdict {
  int crashes = 0;
  Duration since_last_crash{};
  Duration retry_after{};  ///< Until the quarantine ends without new evidence.
  bool trial_due = false;  ///< A batch item that may be run now, to see if its replica survives.
};

/// See the file comment. Not thread-safe.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(const Knobs& knobs) : knobs_(knobs) {}

  /// Merges a crash reported by this or another node.
  EvidenceEffect take(const CrashEvidence& evidence, TimePoint now);
  /// Merges an operator's clearance of a request.
  /// @return whether the clearance was new.
  bool take(const RequestClearance& clearance, TimePoint now);

  /// @return details of the quarantine, or nothing if the request is not quarantined.
  std::optional<QuarantineVerdict> check(const RequestFingerprint& request, TimePoint now) const;
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
  struct Entry {
    std::map<std::uint64_t, TimePoint> crashes;  ///< End times by replica incarnation.
    bool batch = false;
    std::set<std::uint64_t> attributed_elsewhere;  ///< Subset of `crashes`.
    std::set<std::uint64_t> shared;  ///< Subset of `crashes` at which other suspected items ran.
    std::optional<TimePoint> cleared_at;
  };

  bool is_expired(TimePoint time, TimePoint now) const { return now - time > knobs_.crash_memory; }
  /// @return times of the crashes that count against the request, newest first.
  std::vector<TimePoint> attributed_crash_times(const Entry& entry, TimePoint now) const;
  bool is_quarantined(const Entry& entry, TimePoint now) const;
  /// @return whether no other replica crashed at about the same time.
  bool is_isolated(std::uint64_t replica, TimePoint ended_at) const;
  /// @return whether a quarantined item may be innocent.
  bool is_doubtful(const Entry& entry) const;
  /// @return whether a trial of a quarantined item is due.
  /// @param crashes the result of `attributed_crash_times`.
  bool trial_due(const Entry& entry, const std::vector<TimePoint>& crashes, TimePoint now) const;
  /// Recomputes which crashes count against which request.
  void attribute_crashes();
  /// Evicts the request with the fewest crashes (counted up to the quarantine limit); among equals
  /// the one whose most recent event is oldest.
  void evict_one();

  const Knobs& knobs_;
  std::map<RequestFingerprint, Entry> entries_;
  std::map<std::uint64_t, TimePoint> replica_crashes_;  ///< Crash times by replica incarnation.
};

}  // namespace dockpoint
