#include "dockpoint/admission/crash_evidence.hpp"

#include <algorithm>

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

/// First byte of a report. It is the MessagePack tag of a byte string, with which no other message
/// between nodes begins.
constexpr char kCrashReportTag = '\xc4';

struct EvidenceWire {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::uint64_t replica = 0;
  std::int64_t age_ms = 0;
  bool batch = false;  ///< Of a batch item; sent by builds that suspected items, never by this one.
  bool prompt_part = false;
  bool ran_well_before = false;
  DOCKPOINT_FIELDS(high, low, replica, age_ms, batch, prompt_part, ran_well_before)
};

struct ClearanceWire {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::int64_t age_ms = 0;
  bool by_run = false;
  DOCKPOINT_FIELDS(high, low, age_ms, by_run)
};

struct CrashReportWire {
  std::vector<EvidenceWire> evidence;
  std::vector<ClearanceWire> clearances;
  bool reply_requested = false;
  DOCKPOINT_FIELDS(evidence, clearances, reply_requested)
};

/// @return the local time of an event with the given age; negative ages count as zero.
TimePoint time_from_age(std::int64_t age_ms, TimePoint now) {
  return now - std::chrono::milliseconds(std::max<std::int64_t>(age_ms, 0));
}

}  // namespace

std::string encode(const CrashReport& report, TimePoint now) {
  CrashReportWire wire;
  for (const CrashEvidence& evidence : report.evidence) {
    wire.evidence.push_back({evidence.request.high, evidence.request.low, evidence.replica,
                             to_ms(now - evidence.ended_at), false, evidence.prompt_part,
                             evidence.ran_well_before});
  }
  for (const RequestClearance& clearance : report.clearances) {
    wire.clearances.push_back({clearance.request.high, clearance.request.low,
                               to_ms(now - clearance.cleared_at), clearance.by_run});
  }
  wire.reply_requested = report.reply_requested;
  return kCrashReportTag + pack(wire);
}

bool is_crash_report(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kCrashReportTag;
}

std::optional<CrashReport> decode_crash_report(std::string_view bytes, TimePoint now) {
  if (!is_crash_report(bytes)) {
    return std::nullopt;
  }
  const auto wire = unpack<CrashReportWire>(bytes.substr(1));
  if (!wire || wire->evidence.size() > kEvidencePerReport) {
    return std::nullopt;
  }
  CrashReport report;
  for (const EvidenceWire& evidence : wire->evidence) {
    if (evidence.batch) {
      continue;  // An item is never the cause.
    }
    report.evidence.push_back({{evidence.high, evidence.low},
                               evidence.replica,
                               time_from_age(evidence.age_ms, now),
                               evidence.prompt_part,
                               evidence.ran_well_before});
  }
  for (const ClearanceWire& clearance : wire->clearances) {
    report.clearances.push_back(
        {{clearance.high, clearance.low}, time_from_age(clearance.age_ms, now), clearance.by_run});
  }
  report.reply_requested = wire->reply_requested;
  return report;
}

}  // namespace dockpoint
