#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/batch/batch_share.hpp"
#include "dockpoint/batch/due_time.hpp"
#include "dockpoint/batch/partition_owner.hpp"
#include "gateway/gateway_context.hpp"

namespace dockpoint {

class ItemRun;

/// Names one item of a job in a partition of this node.
struct ItemRef {
  int partition = 0;
  std::string job;
  std::uint32_t item = 0;
  friend bool operator==(const ItemRef&, const ItemRef&) = default;
  friend bool operator<(const ItemRef& left, const ItemRef& right) {
    return std::tie(left.partition, left.job, left.item) <
           std::tie(right.partition, right.job, right.item);
  }
};

/// What is known of an item beyond its job: kept between runs, so that a broken one goes on.
struct ItemProgress {
  ItemCheckpoint produced;
  std::size_t saved_bytes = 0;  ///< Of the text, in the log.
  int saved_failures = 0;
  bool restarted = false;    ///< What the log has of it is void.
  int interruptions = 0;     ///< In a row; spaces out further runs.
  std::string last_replica;  ///< That interrupted it.
  bool quarantined = false;  ///< It crashes replicas, and waits for a further trial.

  /// Forgets what was produced: the item runs from its start.
  void restart();
};

/// Runs batch items of the partitions that this node owns.
///
/// The item whose job is due first runs first, jobs that are overdue last.
/// Items go only to replicas with room below a share of their slots, and no more of them at once
/// than BatchShare allows this node; none before a node that has just started can know the load of
/// the others. A run that breaks, or makes room for online requests, goes on behind its last event,
/// wherever there is room.
///
/// Single-threaded; borrows the context. Owners are registered while they are active.
class BatchExecutor {
 public:
  explicit BatchExecutor(GatewayContext& context);
  ~BatchExecutor();

  void add_partition(PartitionOwner& owner);
  /// Ends all runs of the partition and forgets its items.
  void remove_partition(int partition);
  /// Ends all runs of the partition, starts no further one, and writes what they have produced, so
  /// that the next owner goes on behind it.
  void hand_over(int partition);
  /// Hands all partitions over.
  void hand_over_all();
  void add_job(PartitionOwner& owner, const LedgerJob& job);
  void end_job(int partition, const std::string& job);

  void tick(TimePoint now);

  /// Breaks an item off that runs at a replica, the one that can best wait: an online request needs
  /// its slot. @return whether there was one.
  bool yield_slot(const std::string& replica);

  std::size_t running() const { return runs_.size(); }
  /// @return items that run or have to run.
  std::size_t pending() const { return waiting_.size() + delayed_.size() + runs_.size(); }
  bool running_in(int partition) const;

 private:
  friend class ItemRun;

  /// Order of items that wait.
  struct Waiting {
    bool overdue = false;
    DueTime due;
    ItemRef ref;
    friend bool operator<(const Waiting& left, const Waiting& right) {
      return std::tie(left.overdue, left.due.at_ms, left.ref) <
             std::tie(right.overdue, right.due.at_ms, right.ref);
    }
  };

  BatchShare share() const;
  bool is_urgent(const DueTime& due) const;
  /// @return whether the time of an item is over: it may be given up.
  bool has_expired(const ItemRef& ref, std::int64_t now_ms) const;
  void start_waiting(TimePoint now, const BatchShare& share);
  /// Breaks runs off that have time to spare if online requests need their slots.
  void preempt_excess_runs(const BatchShare& share);
  /// @return whether the item was dealt with; otherwise no replica has room.
  /// @return whether the item is kept from the replicas since it crashes them.
  bool quarantined(const LedgerJob& job, const BatchItem& item, const ItemRef& ref, TimePoint now);
  /// @return what tells that an item is the same as one before, or nothing if it is not known.
  std::optional<RequestFingerprint> fingerprint(const ItemRef& ref) const;
  bool start(const Waiting& entry, TimePoint now);
  const RouteConfig* route_of(const LedgerJob& job, const BatchItem& item) const;
  void give_up_expired();
  void save_progress(const ItemRef& ref, ItemProgress& progress);
  void save_all_progress();
  void enqueue(const ItemRef& ref);
  void retry(const ItemRef& ref, Duration delay, TimePoint now);
  void complete(const ItemRef& ref, bool succeeded, std::string text);
  void remove_run(const std::shared_ptr<ItemRun>& run);
  PartitionOwner* owner_of(int partition) const;
  const LedgerJob* job_of(const ItemRef& ref) const;

  GatewayContext& context_;
  const double rounding_;  ///< See FleetLoad.
  std::map<int, PartitionOwner*> owners_;
  std::set<int> suspended_;
  std::set<Waiting> waiting_;
  std::multimap<TimePoint, ItemRef> delayed_;
  std::map<ItemRef, ItemProgress> progress_;
  std::set<std::shared_ptr<ItemRun>> runs_;
  TimePoint start_allowed_at_{};  ///< No item starts before; set by the first round.
  TimePoint next_expiry_check_{};
  TimePoint next_checkpoint_{};
};

}  // namespace dockpoint
