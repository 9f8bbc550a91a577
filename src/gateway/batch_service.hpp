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

/// Identity of this node among the partition owners.
struct BatchMemberName {
  std::string control_address;  ///< `IP:port` to which other nodes forward calls.
  std::uint64_t run = 0;        ///< Distinguishes incarnations of the process.
};

/// The batch API of one node: accepts jobs from any caller, runs the jobs of the partitions that
/// the node owns, and answers reads. Reads of other partitions are forwarded to their owners.
///
/// Single-threaded; borrows the context and the log.
class BatchService : private PartitionOwnerObserver,
                     private GroupMemberObserver,
                     private OwnedJobs {
 public:
  BatchService(GatewayContext& context, PartitionedLog& log, BatchTopics topics,
               BatchMemberName name, std::uint64_t seed);
  ~BatchService() override;

  /// Handles a job that a caller submits or that another node forwards.
  /// @param forwarded_wait see JobSubmissions.
  void submit(const net::ExchangePtr& exchange, const RouteConfig& route,
              std::optional<Duration> forwarded_wait) {
    submissions_.submit(exchange, route, forwarded_wait);
  }
  /// Handles a call about an existing job.
  /// @param forwarded whether another node forwarded the call; it is not forwarded again.
  void handle(const net::ExchangePtr& exchange, const JobCall& call, bool forwarded);

  void tick(TimePoint now);
  /// Gives all jobs that are being submitted a final answer, because the process exits.
  void end_submissions() { submissions_.end_all(); }
  /// Cancels and checkpoints all running items and starts no further ones; see drained().
  void drain();
  /// Leaves the group of partition owners now and thereby releases all partitions.
  void leave();
  /// @return whether no item runs and no write is pending.
  bool drained() const;

  /// @return whether this node's lease on its partitions is valid.
  bool lease_valid(TimePoint now) const { return group_.lease_valid(now); }
  /// See GroupMember::set_others_reach_log().
  void set_peers_reach_log(bool reach, TimePoint now) { group_.set_others_reach_log(reach, now); }

  /// See BatchExecutor::yield_slot().
  bool yield_slot(const std::string& replica) { return executor_.yield_slot(replica); }

  std::size_t pending_items() const { return executor_.pending(); }
  /// @return known owner addresses by partition, for nodes that cannot query the log.
  const std::map<int, std::string>& owner_addresses() const { return owner_addresses_; }
  /// Adds owners that another node knows; existing entries are kept.
  void suggest_owners(const std::map<int, std::string>& owners);

 private:
  /// A long-polling read that waits for results.
  struct Waiter {
    net::ExchangePtr exchange;
    JobCall call;
    TimePoint deadline{};
  };

  void on_partition_active(int partition) override;
  void on_job(int partition, const std::string& job) override;
  void on_job_ended(int partition, const std::string& job) override;
  void on_results(int partition, const std::string& job) override;
  void on_append_settled(int partition, const SettledAppend& append) override;
  void on_partition_fenced(int partition, OwnershipEnd reason) override;
  void on_acquired(int partition, std::uint64_t epoch) override;
  void on_revoked(int partition) override;
  void on_ownership_uncertain(int partition) override;
  void on_lost(int partition) override;

  std::optional<State> find(const std::string& job) const override;
  std::vector<OpenJob> open_jobs(const std::string& route) const override;

  void end_job(const net::ExchangePtr& exchange, const std::string& job);
  void read(Waiter waiter);
  /// @return whether reads may be answered from this node's partitions.
  bool may_serve_reads(TimePoint now) const { return group_.may_serve_reads(now); }
  /// @param deadline_reached whether the read must be answered now, with an empty page or a refusal
  /// if need be. @return whether the read was answered.
  bool try_answer(const Waiter& waiter, bool deadline_reached);
  void serve_waiters(const std::string& job);
  void forward(const net::ExchangePtr& exchange, const JobCall& call, int partition);
  void refresh_owners();
  PartitionOwner* owner_of(int partition) const;
  void refuse(const net::ExchangePtr& exchange, const std::string& job, const char* why);
  void update_metrics();

  GatewayContext& context_;
  PartitionedLog& log_;
  const BatchTopics topics_;
  const BatchMemberName name_;
  std::uint64_t seed_;
  BatchExecutor executor_;
  JobSubmissions submissions_;
  std::map<int, std::unique_ptr<PartitionOwner>> owners_;
  std::vector<int> fenced_;  ///< Released at the next tick: an owner must not be destroyed from
                             ///< within its own callback.
  std::list<Waiter> waiters_;
  std::map<int, std::string> owner_addresses_;
  TimePoint owners_refreshed_{};
  bool refreshing_owners_ = false;
  bool draining_ = false;
  TimePoint now_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  GroupMember group_;
};

/// Response header set by a node that does not own the job's partition.
inline constexpr const char* kNotOwnerHeader = "Dockpoint-Not-Owner";

}  // namespace dockpoint
