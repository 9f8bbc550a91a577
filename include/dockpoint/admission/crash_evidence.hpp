#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/core/time.hpp"

/// Messages in which nodes exchange evidence of requests that crash replicas.
namespace dockpoint {

/// A replica that ended while it ran an online request.
struct CrashEvidence {
  RequestFingerprint request;    ///< The suspect: a whole request, or a part of its prompt.
  std::uint64_t replica = 0;     ///< Hash of the id of the replica incarnation that ended.
  TimePoint ended_at{};          ///< On the local clock of the node that stores it.
  bool prompt_part = false;      ///< The suspect is a part of a prompt.
  bool ran_well_before = false;  ///< The node that saw the crash knew of a good run of the suspect.
};

/// An operator or a good run has cleared a suspect: earlier evidence against it no longer counts.
struct RequestClearance {
  RequestFingerprint request;
  TimePoint cleared_at{};
  bool by_run = false;  ///< By a run that ended well at that time.
};

/// One message. Messages may be lost, duplicated or delayed; receivers merge them idempotently.
struct CrashReport {
  std::vector<CrashEvidence> evidence;
  std::vector<RequestClearance> clearances;
  bool reply_requested = false;  ///< The sender asks for evidence, e.g. after its start.

  bool empty() const { return evidence.empty() && clearances.empty() && !reply_requested; }
};

/// Maximum pieces of evidence in one message, so that it fits into a datagram.
inline constexpr std::size_t kEvidencePerReport = 60;

/// Encodes a report. The first byte distinguishes it from all other messages between nodes. Times
/// are sent as ages, since the nodes' clocks are not synchronized.
std::string encode(const CrashReport& report, TimePoint now);

/// @return whether the message carries the tag of a crash report.
bool is_crash_report(std::string_view bytes);

/// @return the report, or nothing if the bytes are malformed.
std::optional<CrashReport> decode_crash_report(std::string_view bytes, TimePoint now);

}  // namespace dockpoint
