#include "gateway/version_log.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <utility>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

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

void VersionLog::tick(bool view_partial, TimePoint now) {
  now_ = now;
  watch_.tick(now);
  if (!loaded_ || now < next_write_) {
    return;
  }
  for (const VersionChange& change : records_.due(versions_.known(), view_partial, now)) {
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
  named_.clear();
  for (const KeyedRecord& record : records) {
    on_record(record);
  }
}

void VersionLog::on_record(const KeyedRecord& record) {
  if (record.value.empty()) {
    const auto named = named_.extract(record.key);
    if (!named.empty()) {
      records_.confirmed({named.mapped(), true});
    }
    return;
  }
  const auto read = unpack<VersionRecord>(record.value);
  if (!read) {
    spdlog::warn("versions: unreadable record key={} bytes={}", record.key, record.value.size());
    return;
  }
  const ServedVersion served{read->service, read->version};
  named_[record.key] = served;
  records_.recorded(served);
}

void VersionLog::on_caught_up() {
  std::vector<ServedVersion> served;
  for (const auto& [key, version] : named_) {
    served.push_back(version);
  }
  loaded_ = true;
  versions_.restore(served, now_);
  spdlog::info("versions: records loaded count={}", served.size());
}

}  // namespace dockpoint
