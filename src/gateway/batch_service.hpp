#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/batch/group_member.hpp"
#include "dockpoint/batch/partition_owner.hpp"
#include "gateway/batch_executor.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/job_submissions.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Names this node among the owners of partitions.
struct BatchMemberName {
  std::string control_address;  ///< `IP:port` where other nodes pass calls on.
  std::uint64_t run = 0;        ///< Tells the lives of the process apart.
};

/// Batch jobs at one node: takes them from any caller, runs those of the partitions that it owns,
/// and answers reads, passing those of other partitions on to their owners.
///
/// Single-threaded; borrows context and log.
class BatchService : private PartitionOwnerObserver,
                     private GroupMemberObserver,
                     private OwnedJobs {
 public:
  BatchService(GatewayContext& context, PartitionedLog& log, BatchTopics topics,
               BatchMemberName name, std::uint64_t seed);
  ~BatchService() override;

  /// Takes a job that a caller submits, or that another node passes on.
  /// @param forwarded_wait see JobSubmissions.
  void submit(const net::ExchangePtr& exchange, const RouteConfig& route,
              std::optional<Duration> forwarded_wait) {
    submissions_.submit(exchange, route, forwarded_wait);
  }
  /// Takes a call about a job.
  /// @param forwarded it came from another node, and is not passed on again.
  void handle(const net::ExchangePtr& exchange, const JobCall& call, bool forwarded);

  void tick(TimePoint now);
  /// Starts no further item, and gives the partitions back when what runs has ended.
  void drain();
  /// Gives the partitions back now.
  void leave();
  bool drained() const;

  /// @return whether this node's partitions are certainly its own.
  bool lease_valid(TimePoint now) const { return group_.lease_valid(now); }
  /// Without a valid lease this node answers reads only while no other node reaches the log either:
  /// otherwise another may own its partitions and have listed more.
  void set_peers_reach_log(bool reach) { peers_reach_log_ = reach; }

  /// See BatchExecutor.
  bool yield_slot(const std::string& replica) { return executor_.yield_slot(replica); }

  std::size_t pending_items() const { return executor_.pending(); }
  /// @return owners by partition, as far as known, for nodes that cannot ask the log.
  const std::map<int, std::string>& owner_addresses() const { return owner_addresses_; }
  /// Takes owners from another node where this one knows none.
  void suggest_owners(const std::map<int, std::string>& owners);

 private:
  /// A read that waits for results.
  struct Waiter {
    net::ExchangePtr exchange;
    JobCall call;
    TimePoint deadline{};
  };

  void on_partition_active(int partition) override;
  void on_job(int partition, const std::string& job) override;
  void on_job_ended(int partition, const std::string& job) override;
  void on_results(int partition, const std::string& job) override;
  void on_partition_fenced(int partition) override;
  void on_acquired(int partition, std::uint64_t epoch) override;
  void on_revoked(int partition) override;
  void on_ownership_uncertain(int partition) override;
  void on_lost(int partition) override;

  std::optional<State> find(const std::string& job) const override;
  std::vector<OpenJob> open_jobs(const std::string& route) const override;

  void end_job(const net::ExchangePtr& exchange, const std::string& job);
  void read(Waiter waiter);
  /// @return whether what this node holds of its partitions may be told.
  bool may_serve_reads(TimePoint now) const { return lease_valid(now) || !peers_reach_log_; }
  /// @return whether the read was answered.
  bool try_answer(const Waiter& waiter, bool deadline_reached);
  void serve_waiters(const std::string& job);
  void forward(const net::ExchangePtr& exchange, const JobCall& call, int partition);
  void refresh_owners();
  PartitionOwner* owner_of(int partition) const;
  void refuse(const net::ExchangePtr& exchange);
  void update_metrics();

  GatewayContext& context_;
  PartitionedLog& log_;
  const BatchTopics topics_;
  const BatchMemberName name_;
  std::uint64_t seed_;
  BatchExecutor executor_;
  JobSubmissions submissions_;
  std::map<int, std::unique_ptr<PartitionOwner>> owners_;
  std::vector<int>
      fenced_;  ///< Dropped at the next tick: they may not be destroyed while they tell.
  std::list<Waiter> waiters_;
  std::map<int, std::string> owner_addresses_;
  TimePoint owners_refreshed_{};
  bool refreshing_owners_ = false;
  bool draining_ = false;
  bool peers_reach_log_ = false;
  TimePoint now_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  GroupMember group_;
};

/// Header of a refusal by a node that does not own the job's partition.
inline constexpr const char* kNotOwnerHeader = "Dockpoint-Not-Owner";

}  // namespace dockpoint
