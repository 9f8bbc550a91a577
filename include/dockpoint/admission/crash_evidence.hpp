#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/core/time.hpp"

/// What nodes tell each other of requests that crash replicas.
namespace dockpoint {

/// A replica ended while it ran a request.
struct CrashEvidence {
  RequestFingerprint request;
  std::uint64_t replica = 0;  ///< Hash of the id of the life that ended.
  TimePoint ended_at{};       ///< By the clock of the node that holds it.
  bool batch = false;         ///< The request is an item of a batch job.
};

/// An operator has cleared a request: what was known of it until then does not count.
struct RequestClearance {
  RequestFingerprint request;
  TimePoint cleared_at{};
};

/// One message. It may be lost, doubled and late: whoever takes it merges it into what it knows.
struct CrashReport {
  std::vector<CrashEvidence> evidence;
  std::vector<RequestClearance> clearances;
  bool reply_requested = false;  ///< The sender may know too little: it has just started, say.

  bool empty() const { return evidence.empty() && clearances.empty() && !reply_requested; }
};

/// Most pieces of evidence in one message, so that it fits into a datagram.
inline constexpr std::size_t kEvidencePerReport = 60;

/// @return the bytes of a report; they never are those of another message between nodes. Times
/// travel as ages, since each node has a clock of its own.
std::string encode(const CrashReport& report, TimePoint now);

/// @return whether the bytes are meant as a report.
bool is_crash_report(std::string_view bytes);

/// @return the report, or nothing if the bytes are malformed.
std::optional<CrashReport> decode_crash_report(std::string_view bytes, TimePoint now);

}  // namespace dockpoint
