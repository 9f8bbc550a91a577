#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/batch/partition_owner.hpp"
#include "dockpoint/batch/token_quota.hpp"
#include "gateway/gateway_context.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Time that a caller is told to stay away after a refusal that load has not caused, in seconds.
inline constexpr const char* kRetryAfter = "0.4";

/// Header that marks a call which another node passed on; of a job it holds the milliseconds that
/// the other node waits for the answer.
inline constexpr const char* kForwardedHeader = "Dockpoint-Forwarded";

/// Jobs on their way into the log.
///
/// A job is accepted once the log holds all of it and, where its route limits the tokens that wait,
/// its reservation. A caller is refused only while nothing can have been written of the job; if an
/// answer of the log is lost, it gets no promise: the job may run.
///
/// The log may turn this node away while it serves others. So a job that the log has not confirmed
/// after a short time is also passed on to a node that reaches the log; whichever way ends first
/// counts. That both write the job does no harm: it is one job under one key.
///
/// Single-threaded; borrows context, log and owned jobs.
class JobSubmissions {
 public:
  JobSubmissions(GatewayContext& context, PartitionedLog& log, const BatchTopics& topics,
                 const OwnedJobs& owned_jobs, std::uint64_t seed);
  ~JobSubmissions();

  /// Takes a job that a caller submits.
  /// @param forwarded_wait if another node passes it on: how long that node waits for the answer. A
  /// job is passed on once only.
  void submit(const net::ExchangePtr& exchange, const RouteConfig& route,
              std::optional<Duration> forwarded_wait);
  /// @param log_reachable whether the log has answered this node lately.
  void tick(TimePoint now, bool log_reachable);
  /// @return whether no job is on its way.
  bool empty() const { return submissions_.empty(); }

 private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void tick_quotas(TimePoint now);
  /// Tells a route's quota what the configuration and the fleet are now.
  TokenQuota& tick_quota(const RouteConfig& route, TimePoint now);
  TokenQuota& quota_of(const std::string& route);
  void reserve(const SubmissionPtr& submission, const RouteConfig& route);
  void handle_quota_answer(const SubmissionPtr& submission, const QuotaAnswer& answer);
  void append(const SubmissionPtr& submission);
  /// Passes the job on, if that is due and some node reaches the log.
  void forward_if_due(const SubmissionPtr& submission, TimePoint now);
  /// @param wait how long the peer may take.
  void forward(const SubmissionPtr& submission, const Address& peer, Duration wait);
  void handle_forwarded_answer(const SubmissionPtr& submission,
                               const net::SimpleCall::Outcome& outcome);
  void accept_if_complete(const SubmissionPtr& submission);
  /// Ends a submission that cannot be completed, with a promise only where it is true.
  void give_up(const SubmissionPtr& submission);
  /// Refuses a job that does not fit, unless another node may accept it.
  void refuse_over_limit(const SubmissionPtr& submission);
  void finish(const SubmissionPtr& submission, int status);

  GatewayContext& context_;
  PartitionedLog& log_;
  const BatchTopics topics_;
  const OwnedJobs& owned_jobs_;
  const std::uint64_t seed_;
  std::map<std::string, std::unique_ptr<TokenQuota>> quotas_;  ///< By route.
  std::vector<SubmissionPtr> submissions_;
  bool log_reachable_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dockpoint
