#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/batch/batch_share.hpp"
#include "dockpoint/batch/due_time.hpp"
#include "dockpoint/batch/item_audit.hpp"
#include "dockpoint/batch/item_ref.hpp"
#include "dockpoint/batch/partition_owner.hpp"
#include "dockpoint/batch/waiting_items.hpp"
#include "gateway/gateway_context.hpp"

namespace dockpoint {

class ItemRun;

/// Progress of an item, kept between runs so that an interrupted run can be resumed.
struct ItemProgress {
  ItemCheckpoint produced;
  std::size_t saved_bytes = 0;  ///< Bytes of the produced text that the log holds.
  int saved_failures = 0;
  bool restarted = false;    ///< The checkpoint in the log is obsolete.
  int interruptions = 0;     ///< Consecutive; determine the retry backoff.
  std::string last_replica;  ///< Replica of the last interrupted or failed run.
  std::set<net::ConnectionNumber> used_connections;  ///< Connections that carried earlier runs.
  /// Since when only replicas that cannot resume the output could run the item.
  std::optional<TimePoint> waiting_for_origin_since;

  /// Discards the produced output, so that the item runs from its start.
  void restart();
};

/// Runs batch items of the partitions that this node owns.
///
/// The items of each service run in order of their due times; items that are already overdue come
/// last. An item is sent only to a replica with fewer occupied slots than the batch limit, and for
/// each service BatchShare limits the number of concurrent items of this node. A node that has just
/// started waits until it can know the load of the other nodes. A run that is interrupted, or
/// preempted by online requests, resumes after its last event at any replica of the same software
/// version with a free slot; see partial_output.hpp for when it starts again instead. An item is
/// owed until its result is listed: whatever happens to its replicas, it runs again after a short
/// pause, on one replica at a time. An item whose route is missing waits for it; see
/// missing_route.hpp for when it is given up.
///
/// Single-threaded; borrows the context. Partition owners are registered while they are active.
class BatchExecutor {
 public:
  /// Deadline sent to a replica with an item.
  static constexpr Duration kItemDeadline = std::chrono::seconds(60);

  explicit BatchExecutor(GatewayContext& context);
  ~BatchExecutor();

  void add_partition(PartitionOwner& owner);
  /// Cancels all runs of the partition and discards its items.
  void remove_partition(int partition);
  /// Cancels all runs of the partition, starts no further ones, and checkpoints their output, so
  /// that the next owner resumes from it.
  void hand_over(int partition);
  /// Calls hand_over() for every partition.
  void hand_over_all();
  void add_job(PartitionOwner& owner, const LedgerJob& job);
  void end_job(int partition, const std::string& job);

  void tick(TimePoint now);

  /// Preempts the least urgent item that runs at a replica, to free a slot for an online request.
  /// @return whether an item was preempted.
  bool yield_slot(const std::string& replica);

  std::size_t running() const { return runs_.size(); }
  /// @return number of items that are running, waiting or delayed; not of those without a route.
  std::size_t pending() const { return waiting_.size() + delayed_.size() + runs_.size(); }
  bool running_in(int partition) const;

 private:
  friend class ItemRun;

  /// Limits by service.
  using Shares = std::map<std::string, BatchShare>;

  /// @return the limits for the services with waiting or running items.
  Shares shares() const;
  std::map<std::string, std::size_t> running_by_service() const;
  bool is_urgent(const DueTime& due) const;
  void start_waiting(TimePoint now, const Shares& shares);
  /// Logs the state of all open items, and schedules those that nothing works on: none should
  /// exist.
  void audit(TimePoint now, const Shares& shares);
  /// Logs for each service how many items wait, run and may run.
  void log_services(const Shares& shares) const;
  /// @return the items of a partition that wait or run.
  std::set<ItemKey> scheduled_items(int partition) const;
  /// Preempts runs at a service that are not urgent if online requests need their slots.
  void preempt_excess_runs(const std::string& service, const BatchShare& share);
  /// @return the replica for an item, if possible not that of its last interrupted run.
  ReplicaChoice choose_replica(ReplicaQuery query, const ItemProgress& kept, TimePoint now);
  /// Sets the software version that the item's kept output requires, or discards the output if it
  /// cannot or should not be resumed.
  /// @return whether the item may be sent now.
  bool resume_or_restart(const ItemRef& ref, ItemProgress& kept, ReplicaQuery& query,
                         TimePoint now);
  /// Starts or reschedules an item.
  StartOutcome start(const WaitingItem& entry, TimePoint now);
  /// @return the batch route of an item, or null. Routes of other kinds take no items.
  const RouteConfig* route_of(const LedgerJob& job, const BatchItem& item) const;
  /// Queues all waiting items anew, by the routes of a new version of the configuration.
  void reconsider_routes(TimePoint now);
  /// Gives up the waiting items whose time is over.
  void give_up_expired();
  /// Gives up the items whose route was removed for good.
  void give_up_without_route(TimePoint now);
  /// Lists the item as failed. @param why for the log.
  void give_up(const ItemRef& ref, const char* why);
  /// Takes an item's progress from its checkpoint, unless it is known already.
  void load_progress(const ItemRef& ref);
  void save_progress(const ItemRef& ref, ItemProgress& progress);
  void save_all_progress();
  /// Queues an item at its service; without a route, sets it aside. Gives it up if its time is
  /// over.
  void enqueue(const ItemRef& ref);
  void retry(const ItemRef& ref, Duration delay, TimePoint now);
  void complete(const ItemRef& ref, bool succeeded, std::string text);
  /// @return the size of the largest output that the log takes as a result, in bytes.
  std::size_t largest_text(int partition) const;
  void remove_run(const std::shared_ptr<ItemRun>& run);
  /// Forgets the items that wait and match. Neither runs nor progress are affected.
  void remove_waiting(const std::function<bool(const ItemRef&)>& matches);
  PartitionOwner* owner_of(int partition) const;
  const LedgerJob* job_of(const ItemRef& ref) const;

  GatewayContext& context_;
  const double rounding_;  ///< See FleetLoad::rounding.
  std::map<int, PartitionOwner*> owners_;
  std::set<int> suspended_;
  WaitingItems waiting_;
  std::multimap<TimePoint, ItemRef> delayed_;
  std::map<ItemRef, TimePoint> without_route_;  ///< Since when the route is missing.
  std::uint64_t routes_version_ = 0;            ///< Of the configuration that queued the items.
  std::map<ItemRef, ItemProgress> progress_;
  std::set<std::shared_ptr<ItemRun>> runs_;
  TimePoint start_allowed_at_{};  ///< No item starts earlier; set by the first tick.
  TimePoint next_expiry_check_{};
  TimePoint next_audit_{};
  TimePoint last_start_{};                       ///< When the last item was sent.
  std::set<std::string> services_without_room_;  ///< In the last round of starts.
  TimePoint next_checkpoint_{};
};

}  // namespace dockpoint
