#include "gateway/version_log.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// The value of a record; it names the version, so the key is not needed to read it.
struct VersionRecord {
  std::string service;
  std::string version;
  DOCKPOINT_FIELDS(service, version)
};

/// @return the key of a record: keys are short, while names may be long.
std::string key_of(const ServedVersion& served) {
  return fmt::format("{:016x}", hash64(served.version, hash64(served.service)));
}

KeyedRecord record_of(const VersionChange& change) {
  const ServedVersion& served = change.version;
  const std::string value =
      change.removed ? std::string() : pack(VersionRecord{served.service, served.version});
  return {key_of(served), value, 0};
}

}  // namespace

VersionLog::VersionLog(const Knobs& knobs, PartitionedLog& log, const std::string& topic,
                       std::uint64_t seed, SoftwareVersions& versions,
                       VersionRecords::IsKeeper is_keeper)
    : knobs_(knobs),
      log_(log),
      partition_{topic, 0},
      versions_(versions),
      records_(std::move(is_keeper)),
      watch_(knobs, log, partition_, seed, *this, WatchMode::kOnDemand) {}

VersionLog::~VersionLog() {
  life_->alive = false;
}

void VersionLog::load() {
  versions_.await_history();
  watch_.refresh();
}

void VersionLog::tick(TimePoint now) {
  watch_.tick(now);
  if (!loaded_ || now < next_write_) {
    return;
  }
  for (const VersionChange& change : records_.due(versions_.known(), now)) {
    next_write_ = now + knobs_.log_retry_delay_limit;
    write(change);
  }
}

void VersionLog::write(const VersionChange& change) {
  log_.append(partition_, {record_of(change)}, std::nullopt,
              [this, life = life_, change](const AppendOutcome& outcome) {
                if (!life->alive) {
                  return;
                }
                spdlog::info("versions: record {} service={} software={} status={}",
                             change.removed ? "removed" : "written", change.version.service,
                             change.version.version, static_cast<int>(outcome.status));
                if (outcome.status == LogStatus::kOk) {
                  records_.confirmed(change);
                }
              });
}

void VersionLog::on_snapshot(const std::vector<KeyedRecord>& records) {
  std::vector<ServedVersion> served;
  for (const KeyedRecord& record : records) {
    const auto read = record.value.empty() ? std::nullopt : unpack<VersionRecord>(record.value);
    if (read) {
      served.push_back({read->service, read->version});
      records_.recorded(served.back());
    } else if (!record.value.empty()) {
      spdlog::warn("versions: unreadable record key={} bytes={}", record.key, record.value.size());
    }
  }
  loaded_ = true;
  versions_.restore(served, net::steady_now());
  spdlog::info("versions: records loaded count={}", served.size());
}

}  // namespace dockpoint
