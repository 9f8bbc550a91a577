#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/core/knobs.hpp"

/// Keeps requests that crash replicas (queries of death) from the replicas.
///
/// A request is quarantined once enough replicas have ended while they ran it, wherever in the
/// fleet that was. One end proves little, since everything else that ran there looks the same; a
/// request that meets ends again and again is not there by chance. Distinct lives of replicas are
/// counted: several nodes may see the same end.
///
/// Attribution. A batch item is repeated by dockpoint itself until it is done: an innocent one may
/// follow a request that crashes one replica after the other, and be there each time. So an end
/// counts against an item only if no quarantined online request was there too. Among items the one
/// with the most ends is judged first. An online request comes again a few times at most, and is
/// judged by all of its ends.
///
/// Evidence is forgotten after a time, so that a request gets another trial once the replicas may
/// have been mended; until then one more end quarantines it again. The evidence of all nodes is a
/// set that only grows until it is forgotten or cleared: it may be merged in any order, and twice.
namespace dockpoint {

/// What a piece of evidence has changed.
enum class EvidenceEffect {
  kKnown,        ///< Nothing: it was known, or is too old, or was cleared.
  kCounted,      ///< It counts; the request is as free, or as quarantined, as before.
  kQuarantined,  ///< With it the request is quarantined.
};

/// Why a request is kept from the replicas.
struct QuarantineVerdict {
  int crashes = 0;
  Duration since_last_crash{};
  Duration retry_after{};  ///< Until it gets another trial, if no more evidence comes.
};

/// See the top of this file. Not thread-safe.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(const Knobs& knobs) : knobs_(knobs) {}

  EvidenceEffect take(const CrashEvidence& evidence, TimePoint now);
  /// @return whether it is news.
  bool take(const RequestClearance& clearance, TimePoint now);

  /// @return why the request is quarantined, or nothing if it is not.
  std::optional<QuarantineVerdict> check(const RequestFingerprint& request, TimePoint now) const;
  /// @return whether any request may be quarantined: if not, none needs a fingerprint.
  bool empty() const { return entries_.empty(); }
  /// @return what the other nodes should know of a request.
  CrashReport report(const RequestFingerprint& request) const;
  /// @return requests whose state other nodes have to know: quarantined or cleared.
  std::vector<RequestFingerprint> decided(TimePoint now) const;
  /// @return requests that are quarantined.
  std::size_t quarantined(TimePoint now) const;
  /// @return requests of which anything is known.
  std::size_t size() const { return entries_.size(); }
  /// Forgets what is too old; call it now and then.
  void forget_old(TimePoint now);

 private:
  struct Entry {
    std::map<std::uint64_t, TimePoint> crashes;  ///< By replica.
    bool batch = false;
    std::set<std::uint64_t> attributed_elsewhere;  ///< Of `ends`.
    std::optional<TimePoint> cleared_at;
  };

  bool is_expired(TimePoint time, TimePoint now) const { return now - time > knobs_.crash_memory; }
  /// @return times of the ends that count against the request, the newest first.
  std::vector<TimePoint> attributed_crash_times(const Entry& entry, TimePoint now) const;
  bool is_quarantined(const Entry& entry, TimePoint now) const;
  /// Decides anew which ends count against which request.
  void attribute_crashes();
  /// Makes room for one more request: drops the one with the fewest ends, the oldest of those.
  void evict_one();

  const Knobs& knobs_;
  std::map<RequestFingerprint, Entry> entries_;
};

}  // namespace dockpoint
