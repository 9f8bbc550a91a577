#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/log/freshness_budget.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// Following one partition of a compacted topic.
namespace dockpoint {

/// Receives what a watch learns.
class KeyedWatchObserver {
 public:
  virtual ~KeyedWatchObserver() = default;
  /// All keys as they stand; replaces everything told before.
  virtual void on_snapshot(const std::vector<KeyedRecord>& records) = 0;
  /// One record, newer than any told of its key before.
  virtual void on_record(const KeyedRecord& record) = 0;
  /// The watch reached the end of the partition.
  virtual void on_caught_up() = 0;
  /// Calls fail (`reachable` false) or succeed again.
  /// @param silence time between the last answer before and now.
  virtual void on_reachable(bool reachable, Duration silence) = 0;
};

/// How a watch stands to its partition.
enum class WatchState {
  kLoading,    ///< Nothing was told yet, or history is gone and is loaded anew.
  kFollowing,  ///< The last call succeeded, and none is overdue.
  kOverdue,    ///< The call under way should have been answered by now: the log may be silent.
  kLost,       ///< The last call failed.
};

/// @return the state as logs name it.
const char* name_of(WatchState state);

/// How old what a node knows from a topic may be, by the log's own word. Peers may have told more.
struct WatchAge {
  WatchState state = WatchState::kLoading;
  Duration age{};  ///< Since the log last confirmed it; since the process's start if it never did.
};

/// When a watch reads on.
enum class WatchMode {
  kFollow,    ///< Always, by reads that wait for records.
  kOnDemand,  ///< After `refresh`, up to the end of the partition.
};

/// Loads the newest records page by page, then follows the log. When history is gone it loads anew.
/// Waits, time limits and pauses are those of `FreshnessBudget`: a read that is lost without a sign
/// must not keep the watch from news for longer than the bound. After a read that brought the
/// records up to the end the next one waits a little (`Knobs::watch_pause`): hundreds of replicas
/// that register one after the other would cost every node a call each.
///
/// Not thread-safe; borrows log and observer. May be destroyed at any time.
class KeyedWatch {
 public:
  KeyedWatch(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, std::uint64_t seed,
             KeyedWatchObserver& observer, WatchMode mode = WatchMode::kFollow);
  ~KeyedWatch();

  /// Starts what is due; call several times a second.
  void tick(TimePoint now);

  /// @param count other nodes that follow the partition and tell this one when they are ahead.
  void set_peers(std::size_t count) { peers_ = count; }

  /// Reads what was appended until now, if the watch reads on demand; `on_current` is told when it
  /// has. A read that is under way does not count: it may have begun before.
  void refresh();

  /// Loads the newest records once more, when the call under way has ended: what the log gives has
  /// become other than before. Nothing happens if the first load has not begun.
  void reload();
  /// The machine was suspended: what was told is doubted until the log confirms it, and the call
  /// under way is given up, since its connection may be dead and its time limit did not run.
  void mark_unconfirmed();
  /// Changes the bound that waits and time limits are derived from.
  void set_bound(Duration bound) { budget_ = FreshnessBudget(bound); }

  WatchState state(TimePoint now) const;
  /// @return when the log last confirmed that everything up to the end of the partition was told;
  /// the start of time: never.
  TimePoint confirmed_at() const { return state_->confirmed_at; }
  /// @return the offset up to which everything was told.
  LogOffset position() const { return state_->next; }

 private:
  /// Survives the watch while a call is under way.
  struct State {
    bool alive = true;
    bool calling = false;
    bool loaded = false;
    bool reachable = true;
    bool reload = false;       ///< Asked for, or under way: what was loaded before still counts.
    bool wanted = false;       ///< A refresh was asked for after the read under way began.
    bool doubted = false;      ///< No call that began after `doubt` has succeeded yet.
    std::uint64_t call = 0;    ///< Number of the call under way, or of the last one.
    TimePoint next_call_at{};  ///< After a failure, or after records that may not come alone.
    int failures = 0;
    TimePoint overdue_at{};    ///< Of the call under way.
    TimePoint answered_at{};   ///< The last call that succeeded.
    TimePoint confirmed_at{};  ///< The end of the partition was reached.
    LogOffset next = 0;
    LogOffset load_end = 0;
    Duration load_age{};  ///< Of the first page.
    std::string page_key;
    bool first_page = true;
    std::vector<KeyedRecord> pages;
    std::map<std::string, LogOffset> offsets;  ///< Of the newest record told, a key each.
  };

  void proceed();
  void load_page();
  void take_page(NewestOutcome outcome);
  void follow();
  void take_records(ReadOutcome outcome);
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
