#include "gateway/job_submissions.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "gateway/retry_after.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Backoff after a failed append, multiplied by the number of failures.
constexpr Duration kAppendRetryPause = std::chrono::milliseconds(120);

/// A node that receives a forwarded job answers this long before the forwarding node's deadline, so
/// that its answer, which may be an acceptance, still arrives in time.
constexpr Duration kForwardMargin = std::chrono::milliseconds(250);

double tokens_of(const BatchJob& job) {
  double tokens = 0;
  for (const BatchItem& item : job.items) {
    tokens += item.tokens;
  }
  return tokens;
}

/// @return the records of a job, divided into appends that respect the log's limits.
std::vector<std::vector<KeyedRecord>> divide_into_appends(const BatchJob& job,
                                                          const LogLimits& limits) {
  std::vector<std::vector<KeyedRecord>> appends;
  std::size_t bytes = 0;
  for (KeyedRecord& record : job_records(job, limits.record_bytes)) {
    const std::size_t size = record.key.size() + record.value.size();
    if (appends.empty() || bytes + size > limits.call_bytes / 2) {
      appends.emplace_back();
      bytes = 0;
    }
    bytes += size;
    appends.back().push_back(std::move(record));
  }
  return appends;
}

}  // namespace

/// A job that is being written to the log.
struct JobSubmissions::Submission {
  net::ExchangePtr exchange;
  std::string job;
  std::string tenant;
  double tokens = 0;
  double limit = 0;  ///< On the tenant's waiting tokens on the route; 0: unlimited.
  TopicPartition partition;
  std::vector<std::vector<KeyedRecord>> appends;  ///< The last one completes the job.
  std::size_t next = 0;
  bool may_write = false;  ///< The job may be appended.
  bool reserved = false;   ///< The quota holds a reservation for it.
  bool unknown = false;    ///< An append may have succeeded without an answer.
  bool append_in_flight = false;
  bool finished = false;
  int forwards_left = 0;
  bool forwarding = false;  ///< Another node has received the job and not answered yet.
  std::optional<QuotaAnswer>
      over_limit;  ///< Refusal by this node's quota; another node may still accept.
  int failures = 0;
  TimePoint retry_at{};
  TimePoint deadline{};

  bool written() const { return next == appends.size(); }
  /// @return whether the log may hold the job.
  bool may_run() const { return written() || unknown || append_in_flight || forwarding; }
};

JobSubmissions::JobSubmissions(GatewayContext& context, PartitionedLog& log,
                               const BatchTopics& topics, const OwnedJobs& owned_jobs,
                               std::uint64_t seed)
    : context_(context), log_(log), topics_(topics), owned_jobs_(owned_jobs), seed_(seed) {}

JobSubmissions::~JobSubmissions() {
  *alive_ = false;
}

void JobSubmissions::submit(const net::ExchangePtr& exchange, const RouteConfig& route,
                            std::optional<Duration> forwarded_wait) {
  std::string problem;
  std::optional<BatchJob> job = value_or_problem(
      [&] { return context_.protocol.read_job(exchange->request(), exchange->body()); }, problem);
  if (!job) {
    spdlog::info("batch: job rejected why=\"{}\"", problem);
    exchange->respond(400, {{"Content-Type", "application/json"}},
                      error_detail_json(ResultCode::kMalformedBody, problem));
    return;
  }
  job->submitted_ms = net::unix_now_ms();
  const auto submission = std::make_shared<Submission>();
  submission->exchange = exchange;
  submission->job = job->id;
  submission->tenant = job->tenant;
  submission->tokens = tokens_of(*job);
  submission->partition = {topics_.jobs, job_partition(job->id, log_.limits().partitions)};
  submission->deadline =
      exchange->received() + forwarded_wait.value_or(context_.knobs.submission_wait);
  submission->appends = divide_into_appends(*job, log_.limits());
  submission->forwards_left = forwarded_wait ? 0 : context_.knobs.submission_forwards;
  spdlog::info("batch: job received job={} items={} tokens={} partition={} route={}", job->id,
               job->items.size(), submission->tokens, submission->partition.partition, route.name);
  submissions_.push_back(submission);
  reserve(submission, route);
  if (submission->may_write && !submission->finished) {
    append(submission);
  }
  forward_if_due(submission, exchange->received());
}

void JobSubmissions::forward_if_due(const SubmissionPtr& submission, TimePoint now) {
  const Duration waited = now - submission->exchange->received();
  const bool doubtful = !log_reachable_ || submission->failures > 0 ||
                        waited >= context_.knobs.submission_forward_delay;
  if (submission->finished || submission->forwarding || submission->forwards_left <= 0 ||
      !doubtful) {
    return;
  }
  const Duration wait = submission->deadline - now - kForwardMargin;
  const std::vector<std::string> peers = context_.peers_reaching_log();
  if (peers.empty() || wait <= Duration{}) {
    return;
  }
  const std::uint64_t turn =
      hash64(submission->job) + static_cast<std::uint64_t>(submission->forwards_left);
  const std::optional<Address> address = Address::parse(peers[turn % peers.size()]);
  if (address) {
    spdlog::info("batch: job forwarded job={} to={} logReachable={} waitedMs={}", submission->job,
                 address->to_string(), log_reachable_, to_ms(waited));
    forward(submission, *address, wait);
  }
}

void JobSubmissions::forward(const SubmissionPtr& submission, const Address& peer, Duration wait) {
  --submission->forwards_left;
  submission->forwarding = true;
  net::RequestHead head = submission->exchange->request();
  const std::string& body = submission->exchange->body();
  head.headers.erase_connection_fields();
  head.headers.set(kForwardedHeader, std::to_string(to_ms(wait)));
  head.headers.set("Content-Length", std::to_string(body.size()));
  net::SimpleCall::start(
      context_.client, context_.loop, {peer, "control"}, net::serialize(head) + body, {},
      wait + kForwardMargin,
      [this, alive = alive_, submission](const net::SimpleCall::Outcome& outcome) {
        if (*alive) {
          handle_forwarded_answer(submission, outcome);
        }
      });
}

void JobSubmissions::handle_forwarded_answer(const SubmissionPtr& submission,
                                             const net::SimpleCall::Outcome& outcome) {
  submission->forwarding = false;
  const bool not_sent = outcome.failure == net::CallFailure::kNotSent;
  const int status = outcome.failure ? 0 : outcome.head.status;
  // The peer answers 503 and 429 only if nothing can have been written.
  const bool not_written = not_sent || status == 503 || status == 429;
  submission->unknown = submission->unknown || !not_written;
  if (submission->finished) {
    return;
  }
  if (status == 202) {
    submission->exchange->respond(202, {}, {});
    finish(submission, 202);
  } else if (status == 429 && !submission->may_run()) {
    net::Headers headers = outcome.head.headers;
    headers.erase_connection_fields();
    submission->exchange->respond(429, std::move(headers), outcome.body);
    finish(submission, 429);
  } else if (submission->over_limit) {
    refuse_over_limit(submission);
  }
}

void JobSubmissions::reserve(const SubmissionPtr& submission, const RouteConfig& route) {
  if (route.max_waiting_tokens <= 0) {
    submission->may_write = true;
    submission->reserved = true;
    return;
  }
  submission->limit = route.max_waiting_tokens;
  const QuotaStart start =
      tick_quota(route, submission->exchange->received())
          .reserve({submission->job, submission->tokens, submission->deadline, submission->tenant},
                   [this, alive = alive_, submission](const QuotaAnswer& answer) {
                     if (*alive && !submission->finished) {
                       handle_quota_answer(submission, answer);
                     }
                   });
  submission->may_write = submission->may_write || start == QuotaStart::kProceed;
}

TokenQuota& JobSubmissions::quota_of(const std::string& route) {
  std::unique_ptr<TokenQuota>& quota = quotas_[route];
  if (!quota) {
    const std::uint64_t hash = hash64(route);
    const auto partitions = static_cast<std::uint64_t>(std::max(1, log_.limits().partitions));
    quota = std::make_unique<TokenQuota>(
        context_.knobs, log_,
        TopicPartition{topics_.reservations, static_cast<int>(hash % partitions)}, route,
        owned_jobs_, combine_hash(seed_, hash));
  }
  return *quota;
}

void JobSubmissions::handle_quota_answer(const SubmissionPtr& submission,
                                         const QuotaAnswer& answer) {
  switch (answer.verdict) {
    case QuotaVerdict::kReserved:
      submission->reserved = true;
      if (!std::exchange(submission->may_write, true)) {
        append(submission);
      }
      accept_if_complete(submission);
      return;
    case QuotaVerdict::kOverLimit:
      submission->over_limit = answer;
      refuse_over_limit(submission);
      return;
    case QuotaVerdict::kUnavailable:
      give_up(submission);
      return;
  }
}

void JobSubmissions::append(const SubmissionPtr& submission) {
  submission->append_in_flight = true;
  log_.append(submission->partition, submission->appends[submission->next], std::nullopt,
              [this, alive = alive_, submission](const AppendOutcome& outcome) {
                if (!*alive) {
                  return;
                }
                submission->append_in_flight = false;
                if (outcome.status == LogStatus::kOk) {
                  ++submission->next;
                  if (submission->written()) {
                    accept_if_complete(submission);
                  } else {
                    append(submission);
                  }
                  return;
                }
                submission->unknown |= outcome.status == LogStatus::kUnknown;
                submission->retry_at =
                    net::steady_now() + kAppendRetryPause * ++submission->failures;
              });
}

void JobSubmissions::accept_if_complete(const SubmissionPtr& submission) {
  if (submission->written() && submission->reserved && !submission->finished) {
    submission->exchange->respond(202, {}, {});
    finish(submission, 202);
  }
}

void JobSubmissions::give_up(const SubmissionPtr& submission) {
  if (submission->may_run()) {
    submission->exchange->respond(504, {}, {});
    finish(submission, 504);
  } else {
    submission->exchange->respond(503, {{"Retry-After", kRetryAfter}}, {});
    finish(submission, 503);
  }
}

void JobSubmissions::end_all() {
  const auto submissions = submissions_;
  for (const SubmissionPtr& submission : submissions) {
    if (!submission->finished) {
      give_up(submission);
    }
  }
}

void JobSubmissions::refuse_over_limit(const SubmissionPtr& submission) {
  if (submission->may_run()) {
    return;  // The job may still be accepted, e.g. by the node it was forwarded to.
  }
  const Duration fits_after = submission->over_limit->fits_after;
  const double limit = submission->limit;
  const bool never_fits = submission->tokens > limit;
  const std::string message =
      never_fits
          ? fmt::format(
                "the job has {:.0f} tokens, more than the {:.0f} that may wait on "
                "its route: divide it",
                submission->tokens, limit)
          : fmt::format("the limit of {:.0f} waiting tokens on the route has no room for {:.0f}",
                        limit, submission->tokens);
  net::Headers headers{{"Content-Type", "application/json"}};
  if (!never_fits) {
    headers.add("Retry-After", retry_after_value(fits_after));
  }
  spdlog::info("batch: job refused job={} tokens={} limit={} fitsAfterMs={} why=\"{}\"",
               submission->job, submission->tokens, limit, to_ms(fits_after),
               never_fits ? "it can never fit" : "too many tokens wait");
  submission->exchange->respond(429, std::move(headers),
                                error_detail_json(ResultCode::kOverloaded, message));
  finish(submission, 429);
}

void JobSubmissions::finish(const SubmissionPtr& submission, int status) {
  submission->finished = true;
  const Duration took = net::steady_now() - submission->exchange->received();
  spdlog::info("batch: job {} job={} status={} mayBeInLog={} tookMs={}",
               status == 202 ? "accepted" : "not accepted", submission->job, status,
               submission->may_run(), to_ms(took));
  std::erase(submissions_, submission);
}

void JobSubmissions::tick(TimePoint now, bool log_reachable) {
  log_reachable_ = log_reachable;
  tick_quotas(now);
  const auto submissions = submissions_;
  for (const SubmissionPtr& submission : submissions) {
    if (submission->finished) {
      continue;
    }
    if (submission->exchange->answered()) {
      submission->finished = true;  // The caller has disconnected.
      std::erase(submissions_, submission);
    } else if (now >= submission->deadline) {
      give_up(submission);
    } else {
      const bool retry_due = !submission->append_in_flight && now >= submission->retry_at;
      if (submission->may_write && !submission->written() && retry_due) {
        append(submission);
      }
      forward_if_due(submission, now);
    }
  }
}

void JobSubmissions::tick_quotas(TimePoint now) {
  const auto configuration = context_.configuration;
  for (const RouteConfig& route : configuration->routes) {
    if (route.kind == RouteKind::kBatch && route.max_waiting_tokens > 0) {
      tick_quota(route, now);
    }
  }
}

TokenQuota& JobSubmissions::tick_quota(const RouteConfig& route, TimePoint now) {
  TokenQuota& quota = quota_of(route.name);
  const std::size_t nodes = context_.replicas.peers() + 1;
  quota.tick(now, net::unix_now_ms(), {route.max_waiting_tokens, nodes});
  return quota;
}

}  // namespace dockpoint
