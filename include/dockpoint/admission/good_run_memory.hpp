#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Remembers when a run with each suspect, such as a prompt part, last ended well at this node.
///
/// A bounded number of suspects; the one whose last good run is oldest goes first. Not thread-safe.
class GoodRunMemory {
 public:
  explicit GoodRunMemory(std::size_t capacity) : capacity_(capacity) {}

  void record(const RequestFingerprint& suspect, TimePoint now);
  /// @return the time of the last good run, or nothing if none is remembered.
  std::optional<TimePoint> last(const RequestFingerprint& suspect) const;
  /// @return clearances of the suspects against which a report has as much evidence as `limit`, and
  /// that ran well here after some of those crashes.
  std::vector<RequestClearance> clearances_against(const CrashReport& report,
                                                   std::size_t limit) const;
  std::size_t size() const { return last_.size(); }

 private:
  const std::size_t capacity_;
  std::map<RequestFingerprint, TimePoint> last_;
  std::multimap<TimePoint, RequestFingerprint> by_time_;
};

}  // namespace dockpoint
