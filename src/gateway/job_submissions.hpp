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

/// `Retry-After` value of refusals that are not caused by load, in seconds.
inline constexpr const char* kRetryAfter = "0.4";

/// Header that marks a call forwarded by another node. For a job submission, its value is the time
/// in milliseconds that the forwarding node waits for the answer.
inline constexpr const char* kForwardedHeader = "Dockpoint-Forwarded";

/// Writes submitted jobs to the log and answers their callers.
///
/// A job is accepted once the log holds all its records and, if its route limits waiting tokens,
/// its reservation. A caller is refused only while no part of the job can have been written. If an
/// answer of the log is lost, the outcome is unknown and the job may run: the caller is neither
/// promised nor refused it.
///
/// The log may be unreachable for this node while it serves others. A job that the log has not
/// confirmed after a short delay is therefore also forwarded to a node that reaches the log, and
/// the first final outcome counts. It is harmless if both nodes write the job, since both use the
/// same key.
///
/// Single-threaded; borrows the context, the log and the owned jobs.
class JobSubmissions {
 public:
  JobSubmissions(GatewayContext& context, PartitionedLog& log, const BatchTopics& topics,
                 const OwnedJobs& owned_jobs, std::uint64_t seed);
  ~JobSubmissions();

  /// Handles a job submission.
  /// @param forwarded_wait set if another node forwarded the job: the time that node waits for the
  /// answer. A forwarded job is not forwarded again.
  void submit(const net::ExchangePtr& exchange, const RouteConfig& route,
              std::optional<Duration> forwarded_wait);
  /// @param log_reachable whether the log has answered this node recently.
  void tick(TimePoint now, bool log_reachable);
  /// @return whether no submission is in progress.
  /// Gives all submissions a final answer, because the process exits.
  void end_all();

  bool empty() const { return submissions_.empty(); }

 private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void tick_quotas(TimePoint now);
  /// Updates a route's quota with the current limit and fleet size.
  TokenQuota& tick_quota(const RouteConfig& route, TimePoint now);
  TokenQuota& quota_of(const std::string& route);
  void reserve(const SubmissionPtr& submission, const RouteConfig& route);
  void handle_quota_answer(const SubmissionPtr& submission, const QuotaAnswer& answer);
  void append(const SubmissionPtr& submission);
  /// Forwards the job if that is due and another node reaches the log.
  void forward_if_due(const SubmissionPtr& submission, TimePoint now);
  /// @param wait time that the peer may take to answer.
  void forward(const SubmissionPtr& submission, const Address& peer, Duration wait);
  void handle_forwarded_answer(const SubmissionPtr& submission,
                               const net::SimpleCall::Outcome& outcome);
  void accept_if_complete(const SubmissionPtr& submission);
  /// Ends a submission that cannot be completed: with 504 if the job may run, otherwise with 503.
  void give_up(const SubmissionPtr& submission);
  /// Refuses a job that exceeds the limit, unless another node may still accept it.
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
