#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/admission/crash_evidence.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/log/keyed_watch.hpp"

namespace dockpoint {

/// Persists quarantined and cleared requests in the log, so that they survive a simultaneous
/// restart of all nodes. Nodes read the log when they start; later changes travel by gossip.
///
/// Single-threaded; borrows the log.
class QuarantineLog : private KeyedWatchObserver {
 public:
  using Loaded = std::function<void(const CrashReport&)>;

  /// @param loaded called for each record that is read.
  QuarantineLog(const Knobs& knobs, PartitionedLog& log, const std::string& topic,
                std::uint64_t seed, Loaded loaded);
  ~QuarantineLog() override;

  /// Writes the report of a request, replacing its earlier record; retries until the log confirms
  /// it.
  void save(const RequestFingerprint& request, const CrashReport& report, TimePoint now);
  /// Reads the records written by other nodes.
  void refresh() { watch_.refresh(); }
  /// Starts due reads and writes; call several times a second.
  void tick(TimePoint now);

 private:
  void on_snapshot(const std::vector<KeyedRecord>& records) override;
  void on_record(const KeyedRecord& record) override;
  void on_caught_up() override {}
  void on_reachable(bool /*reachable*/, Duration /*silence*/) override {}
  void write(const RequestFingerprint& request);

  const Knobs& knobs_;
  PartitionedLog& log_;
  const TopicPartition partition_;
  const Loaded loaded_;
  KeyedWatch watch_;
  std::map<RequestFingerprint, std::string> unwritten_;  ///< Packed records to write.
  TimePoint next_write_{};
  const std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
