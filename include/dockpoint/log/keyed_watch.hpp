#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/log/freshness_budget.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// Watches one partition of a compacted topic.
namespace dockpoint {

/// Receives a watch's records and changes of its state.
class KeyedWatchObserver {
 public:
  virtual ~KeyedWatchObserver() = default;
  /// The newest records of all keys; replaces all earlier records.
  virtual void on_snapshot(const std::vector<KeyedRecord>& records) = 0;
  /// One record, newer than any earlier record of its key.
  virtual void on_record(const KeyedRecord& record) = 0;
  /// The watch reached the end of the partition.
  virtual void on_caught_up() = 0;
  /// The log became unreachable (`reachable` false) or reachable again.
  /// @param silence time since the last successful answer before this change.
  virtual void on_reachable(bool reachable, Duration silence) = 0;
};

/// State of a watch.
enum class WatchState {
  kLoading,    ///< No snapshot is loaded yet, or a compacted position forces a reload.
  kFollowing,  ///< The last call succeeded, and none is overdue.
  kOverdue,    ///< The pending call is overdue: the log may be silent.
  kLost,       ///< The last call failed.
};

/// @return the state's name for log lines.
const char* name_of(WatchState state);

/// Staleness of a node's view of a topic as confirmed by the log. Data from peers may be newer.
struct WatchAge {
  WatchState state = WatchState::kLoading;
  /// Time since the log last confirmed the view; since the process's start if it never did.
  Duration age{};
};

/// When a watch reads.
enum class WatchMode {
  kFollow,    ///< Continuously, by long polls.
  kOnDemand,  ///< After `refresh`, up to the end of the partition.
};

/// Loads the newest records page by page, then follows the log. Reloads them if its position was
/// compacted. Waits, timeouts and backoff are those of `FreshnessBudget`: a silently lost read must
/// not delay updates beyond the bound. After a read that reached the end of the partition with new
/// records, the next one starts after `Knobs::watch_pause`: otherwise hundreds of replicas that
/// register one after the other would cost every node a call each.
///
/// Not thread-safe; borrows log and observer. May be destroyed at any time.
class KeyedWatch {
 public:
  KeyedWatch(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, std::uint64_t seed,
             KeyedWatchObserver& observer, WatchMode mode = WatchMode::kFollow);
  ~KeyedWatch();

  /// Starts calls that are due; call several times a second.
  void tick(TimePoint now);

  /// @param count number of other nodes that follow the partition and announce their positions.
  void set_peers(std::size_t count) { peers_ = count; }

  /// In on-demand mode, reads what has been appended so far, then calls `on_caught_up`. A read that
  /// is already under way does not satisfy the request, since it may have begun before the append.
  void refresh();

  /// Reloads the newest records after the pending call has ended, because the log's content as seen
  /// by this node has changed. Does nothing if the first load has not begun.
  void reload();
  /// Marks the state as unconfirmed until the log confirms it, after a suspension of the machine.
  /// Abandons the pending call: its connection may be dead, and its timeout did not run meanwhile.
  void mark_unconfirmed();
  /// Changes the bound that waits and timeouts are derived from.
  void set_bound(Duration bound) { budget_ = FreshnessBudget(bound); }

  WatchState state(TimePoint now) const;
  /// @return whether the newest records are being loaded again, or will be.
  bool reloading() const { return state_->reload; }
  /// @return when the log last confirmed that all records up to the end of the partition were
  /// delivered; the epoch of the clock: never.
  TimePoint confirmed_at() const { return state_->confirmed_at; }
  /// @return the offset up to which all records were delivered.
  LogOffset position() const { return state_->next; }

 private:
  /// Outlives the watch while a call is pending.
  struct State {
    bool alive = true;
    bool call_pending = false;
    bool loaded = false;
    bool reachable = true;
    bool reload = false;  ///< Requested or under way; the records loaded before remain valid.
    bool refresh_requested = false;  ///< Requested after the current read began.
    bool unconfirmed = false;        ///< No call begun after `mark_unconfirmed` has succeeded yet.
    std::uint64_t call = 0;          ///< Number of the pending call, or of the last one.
    TimePoint next_call_at{};        ///< Delayed after a failure, or to batch further records.
    int failures = 0;
    TimePoint overdue_at{};    ///< Of the pending call.
    TimePoint answered_at{};   ///< Time of the last successful call.
    TimePoint confirmed_at{};  ///< When the end of the partition was last reached.
    LogOffset next = 0;
    LogOffset load_end = 0;
    Duration load_age{};  ///< Age of the first page.
    std::string page_key;
    bool first_page = true;
    std::vector<KeyedRecord> pages;
    std::map<std::string, LogOffset> offsets;  ///< Offset of the newest delivered record by key.
  };

  void proceed();
  void load_page();
  void on_page(NewestOutcome outcome);
  void follow();
  void on_records(ReadOutcome outcome);
  void fail();
  void succeed();

  const Knobs& knobs_;
  PartitionedLog& log_;
  const TopicPartition partition_;
  std::mt19937_64 random_;
  KeyedWatchObserver& observer_;
  const WatchMode mode_;
  FreshnessBudget budget_;
  std::size_t peers_ = 0;
  TimePoint now_{};
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace dockpoint
