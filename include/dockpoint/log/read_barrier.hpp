#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// Confirms that a view of a partition includes all records up to a moment.
///
/// A view that follows a partition may be seconds behind without knowing it: its node may be cut
/// off from the log, or may have stood still. The barrier reads the end of the partition, and is
/// passed once the view has reached that end. What was appended before the read began is then in
/// the view; etcd's ReadIndex and ZooKeeper's sync rest on the same argument.
namespace dockpoint {

/// See the top of this file. Single-threaded; borrows the log.
class ReadBarrier {
 public:
  /// @return the offset up to which the view includes all records.
  using Position = std::function<LogOffset()>;
  /// Called when the view includes all records that were appended before `as_of`, the moment at
  /// which a read began. Must not destroy the barrier.
  using Passed = std::function<void(TimePoint as_of)>;

  ReadBarrier(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, Position position,
              Passed passed);
  ~ReadBarrier();
  ReadBarrier(const ReadBarrier&) = delete;
  ReadBarrier& operator=(const ReadBarrier&) = delete;

  /// Starts a read unless one that serves the request is under way, or the last one began just now.
  /// The caller repeats the request until `passed` was called.
  /// @param as_of the moment up to which the view has to be confirmed.
  void request(TimePoint as_of, TimePoint now);
  /// Compares the view with the end that was read; call several times a second.
  void tick();

 private:
  /// The end of the partition, read at or after a moment.
  struct End {
    TimePoint as_of{};
    LogOffset offset = 0;
  };
  /// Outlives the barrier while a read is pending.
  struct State {
    bool alive = true;
    bool read_pending = false;
    std::optional<End> end;  ///< That the view has not reached yet.
  };

  const Knobs& knobs_;
  PartitionedLog& log_;
  const TopicPartition partition_;
  const Position position_;
  const Passed passed_;
  TimePoint next_read_at_{};
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace dockpoint
