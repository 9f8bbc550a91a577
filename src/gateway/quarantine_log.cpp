#include "gateway/quarantine_log.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "dockpoint/core/codec.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Stored form of the end of one replica.
struct EndRecord {
  std::uint64_t replica = 0;
  std::int64_t ended_unix_ms = 0;
  DOCKPOINT_FIELDS(replica, ended_unix_ms)
};

/// The value of a record; it contains the fingerprint, so the key is not needed to read it.
struct QuarantineRecord {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::vector<EndRecord> ends;
  std::int64_t cleared_unix_ms = 0;  ///< 0: never.
  bool batch = false;                ///< Of a batch item; written by builds that suspected items.
  bool prompt_part = false;
  bool ran_well_before = false;
  bool cleared_by_run = false;
  DOCKPOINT_FIELDS(high, low, ends, cleared_unix_ms, batch, prompt_part, ran_well_before,
                   cleared_by_run)
};

std::int64_t unix_ms_of(TimePoint time, TimePoint now) {
  return net::unix_now_ms() - to_ms(now - time);
}

/// Node clocks differ: times in the future are taken as now.
TimePoint time_of(std::int64_t unix_ms, TimePoint now) {
  return now - std::chrono::milliseconds(std::max<std::int64_t>(net::unix_now_ms() - unix_ms, 0));
}

}  // namespace

QuarantineLog::QuarantineLog(const Knobs& knobs, PartitionedLog& log, const std::string& topic,
                             std::uint64_t seed, Loaded loaded)
    : knobs_(knobs),
      log_(log),
      partition_{topic, 0},
      loaded_(std::move(loaded)),
      watch_(knobs, log, partition_, seed, *this, WatchMode::kOnDemand) {}

QuarantineLog::~QuarantineLog() {
  life_->alive = false;
}

void QuarantineLog::save(const RequestFingerprint& request, const CrashReport& report,
                         TimePoint now) {
  QuarantineRecord record;
  record.high = request.high;
  record.low = request.low;
  for (const CrashEvidence& evidence : report.evidence) {
    record.ends.push_back({evidence.replica, unix_ms_of(evidence.ended_at, now)});
    record.prompt_part = evidence.prompt_part;
    record.ran_well_before = evidence.ran_well_before;
  }
  for (const RequestClearance& clearance : report.clearances) {
    record.cleared_unix_ms = unix_ms_of(clearance.cleared_at, now);
    record.cleared_by_run = clearance.by_run;
  }
  unwritten_[request] = pack(record);
}

void QuarantineLog::tick(TimePoint now) {
  watch_.tick(now);
  if (unwritten_.empty() || now < next_write_) {
    return;
  }
  next_write_ = now + knobs_.log_retry_delay_limit;
  for (const auto& [request, value] : unwritten_) {
    write(request);
  }
}

void QuarantineLog::write(const RequestFingerprint& request) {
  const std::string value = unwritten_[request];
  log_.append(partition_, {{request.hex(), value, 0}}, std::nullopt,
              [this, life = life_, request, value](const AppendOutcome& outcome) {
                if (!life->alive) {
                  return;
                }
                if (outcome.status != LogStatus::kOk) {
                  spdlog::info("quarantine: record not written content={} status={}", request.hex(),
                               static_cast<int>(outcome.status));
                  return;
                }
                const auto found = unwritten_.find(request);
                if (found != unwritten_.end() && found->second == value) {
                  unwritten_.erase(found);
                }
              });
}

void QuarantineLog::on_snapshot(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    on_record(record);
  }
}

void QuarantineLog::on_record(const KeyedRecord& record) {
  if (record.value.empty()) {
    return;  // The key was removed.
  }
  const auto read = unpack<QuarantineRecord>(record.value);
  if (!read) {
    spdlog::warn("quarantine: unreadable record key={} bytes={}", record.key, record.value.size());
    return;
  }
  if (read->batch) {
    return;
  }
  const TimePoint now = net::steady_now();
  CrashReport report;
  for (const EndRecord& end : read->ends) {
    report.evidence.push_back({{read->high, read->low},
                               end.replica,
                               time_of(end.ended_unix_ms, now),
                               read->prompt_part,
                               read->ran_well_before});
  }
  if (read->cleared_unix_ms != 0) {
    report.clearances.push_back(
        {{read->high, read->low}, time_of(read->cleared_unix_ms, now), read->cleared_by_run});
  }
  loaded_(report);
}

}  // namespace dockpoint
