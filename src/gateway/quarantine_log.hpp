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

/// Keeps what is decided of requests that crash replicas in the log, for a fleet whose nodes all
/// restart at once. Nodes read it when they start; from then on they tell each other.
///
/// Single-threaded; borrows the log.
class QuarantineLog : private KeyedWatchObserver {
 public:
  using Loaded = std::function<void(const CrashReport&)>;

  /// @param loaded called with each record that is read.
  QuarantineLog(const Knobs& knobs, PartitionedLog& log, const std::string& topic,
                std::uint64_t seed, Loaded loaded);
  ~QuarantineLog() override;

  /// Writes what is known of a request, in place of what was written of it before; tries again
  /// until the log has it.
  void save(const RequestFingerprint& request, const CrashReport& report, TimePoint now);
  /// Reads what other nodes have written.
  void refresh() { watch_.refresh(); }
  /// Starts what is due; call several times a second.
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
  std::map<RequestFingerprint, std::string> unwritten_;  ///< Values.
  TimePoint next_write_{};
  const std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
