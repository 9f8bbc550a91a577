#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/routing/version_records.hpp"

namespace dockpoint {

/// Keeps the software versions that serve in the log, see version_records.hpp: reads them when the
/// node starts or was suspended, and writes the changes of those that this node keeps.
///
/// Single-threaded; borrows its arguments.
class VersionLog : private KeyedWatchObserver {
 public:
  VersionLog(const Knobs& knobs, PartitionedLog& log, const std::string& topic, std::uint64_t seed,
             SoftwareVersions& versions, VersionRecords::IsKeeper is_keeper);
  ~VersionLog() override;

  /// Reads the records, at a start or after a suspension; repeated until the log has answered. No
  /// sole version is claimed before.
  void load();
  /// Starts due reads and writes; call several times a second, after the versions were observed.
  /// @param view_partial whether this node sees only a part of the replicas.
  void tick(bool view_partial, TimePoint now);

 private:
  void on_snapshot(const std::vector<KeyedRecord>& records) override;
  void on_record(const KeyedRecord& record) override;
  void on_caught_up() override;
  void on_reachable(bool /*reachable*/, Duration /*silence*/) override {}
  void write(const VersionChange& change);

  const Knobs& knobs_;
  PartitionedLog& log_;
  const TopicPartition partition_;
  SoftwareVersions& versions_;
  VersionRecords records_;
  std::map<std::string, ServedVersion> named_;  ///< By key, as last read.
  KeyedWatch watch_;
  bool loaded_ = false;
  TimePoint now_{};
  TimePoint next_write_{};
  const std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
