#include "gateway/batch_service.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Maximum size of the results in one response, in bytes.
constexpr std::size_t kPageBytes = 1'000'000;

/// Minimum time limit of a read, during which its partition may still be loading.
constexpr Duration kLoadWait = std::chrono::milliseconds(800);

/// Lifetime of cached partition owners.
constexpr Duration kOwnersLifetime = std::chrono::seconds(4);
/// Minimum interval between two queries for owners.
constexpr Duration kOwnersInterval = std::chrono::milliseconds(400);

/// Timeout of a call forwarded to an owner, in addition to the call's own wait.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1200);

/// @return the address part of a member name, `IP:port#run`.
std::string address_of(const std::string& member) {
  return member.substr(0, member.find('#'));
}

std::string member_name(const BatchMemberName& name) {
  return fmt::format("{}#{:x}", name.control_address, name.run);
}

const char* settled_name(LogStatus status) {
  switch (status) {
    case LogStatus::kOk:
      return "written";
    case LogStatus::kFenced:
      return "fenced";
    default:
      return "out_of_sequence";
  }
}

/// @return the results of `job` from `position` on that fit into one response.
ResultPage page_of(const LedgerJob& job, std::uint64_t position) {
  ResultPage page{&job, static_cast<std::size_t>(position), 0};
  std::size_t bytes = 0;
  for (std::size_t index = page.first; index < job.results.size(); ++index) {
    bytes += job.results[index].text.size() + job.results[index].text.size() / 8 + 128;
    if (page.count > 0 && bytes > kPageBytes) {
      break;
    }
    ++page.count;
  }
  return page;
}

}  // namespace

BatchService::BatchService(GatewayContext& context, PartitionedLog& log, BatchTopics topics,
                           BatchMemberName name, std::uint64_t seed)
    : context_(context),
      log_(log),
      topics_(std::move(topics)),
      name_(std::move(name)),
      seed_(seed),
      executor_(context),
      submissions_(context, log, topics_, *this, seed),
      group_(context.knobs, log, topics_.group, topics_.jobs, member_name(name_), seed, *this) {}

BatchService::~BatchService() {
  *alive_ = false;
}

void BatchService::refuse(const net::ExchangePtr& exchange, const std::string& job,
                          const char* why) {
  spdlog::info("batch: call refused job={} partition={} tookMs={} why=\"{}\"", job,
               job_partition(job, log_.limits().partitions),
               to_ms(net::steady_now() - exchange->received()), why);
  exchange->respond(503, {{"Retry-After", kRetryAfter}}, {});
}

void BatchService::handle(const net::ExchangePtr& exchange, const JobCall& call, bool forwarded) {
  if (call.operation == JobOperation::kEnd) {
    end_job(exchange, call.job);
    return;
  }
  const int partition = job_partition(call.job, log_.limits().partitions);
  const PartitionOwner* owner = owner_of(partition);
  const TimePoint now = net::steady_now();
  if (owner != nullptr && may_serve_reads(now)) {
    read({exchange, call, now + std::max(call.wait, kLoadWait)});
  } else if (owner == nullptr && !forwarded) {
    forward(exchange, call, partition);
  } else {
    spdlog::info("batch: forwarded call refused job={} owner={}", call.job, owner != nullptr);
    exchange->respond(503, {{kNotOwnerHeader, "1"}, {"Retry-After", kRetryAfter}}, {});
  }
}

void BatchService::read(Waiter waiter) {
  if (!try_answer(waiter, false)) {
    waiters_.push_back(std::move(waiter));
  }
}

bool BatchService::try_answer(const Waiter& waiter, bool deadline_reached) {
  const int partition = job_partition(waiter.call.job, log_.limits().partitions);
  const PartitionOwner* owner = owner_of(partition);
  const LedgerJob* job = owner != nullptr && owner->active() && may_serve_reads(net::steady_now())
                             ? owner->ledger().find(waiter.call.job)
                             : nullptr;
  if (job == nullptr) {
    // The job may have been accepted recently and not yet been read from the log.
    if (deadline_reached) {
      const bool serves = owner != nullptr && owner->active();
      refuse(waiter.exchange, waiter.call.job,
             !serves                               ? "the partition is not loaded"
             : !may_serve_reads(net::steady_now()) ? "the lease is not renewed"
                                                   : "the job is not in the log so far");
    }
    return deadline_reached;
  }
  if (waiter.call.operation == JobOperation::kItemBody) {
    const auto& items = job->job.items;
    const auto item = std::find_if(items.begin(), items.end(), [&](const BatchItem& candidate) {
      return candidate.id == waiter.call.item;
    });
    if (item == items.end()) {
      waiter.exchange->respond(404, {}, {});
    } else {
      waiter.exchange->respond(200, {{"Content-Type", "application/octet-stream"}}, item->body);
    }
    return true;
  }
  const ResultPage page = page_of(*job, waiter.call.position);
  const bool waits = waiter.call.wait > Duration{} && !job->complete() && !deadline_reached;
  if (page.count == 0 && waits) {
    return false;
  }
  waiter.exchange->respond(200, {{"Content-Type", "application/json"}},
                           context_.protocol.write_results(page));
  return true;
}

void BatchService::serve_waiters(const std::string& job) {
  waiters_.remove_if([&](const Waiter& waiter) {
    return waiter.call.job == job && (waiter.exchange->answered() || try_answer(waiter, false));
  });
}

void BatchService::end_job(const net::ExchangePtr& exchange, const std::string& job) {
  const TopicPartition partition{topics_.jobs, job_partition(job, log_.limits().partitions)};
  log_.append(partition, {end_record(job)}, std::nullopt,
              [this, alive = alive_, exchange, job](const AppendOutcome& outcome) {
                if (!*alive) {
                  return;
                }
                spdlog::info("batch: append of job end job={} outcome={}", job,
                             static_cast<int>(outcome.status));
                if (outcome.status == LogStatus::kOk) {
                  exchange->respond(200, {}, {});
                } else {
                  refuse(exchange, job, "the log did not confirm the end");
                }
              });
}

void BatchService::forward(const net::ExchangePtr& exchange, const JobCall& call, int partition) {
  const TimePoint now = net::steady_now();
  const auto known = owner_addresses_.find(partition);
  if (known == owner_addresses_.end() || now - owners_refreshed_ > kOwnersLifetime) {
    refresh_owners();
  }
  const auto address =
      known == owner_addresses_.end() ? std::nullopt : Address::parse(known->second);
  if (!address || known->second == name_.control_address) {
    refuse(exchange, call.job, address ? "this node is the last known owner" : "no owner is known");
    return;
  }
  net::RequestHead head = exchange->request();
  head.headers.erase_connection_fields();
  head.headers.set(kForwardedHeader, "1");
  net::SimpleCall::start(
      context_.client, context_.loop, {*address, "control"}, net::serialize(head), {},
      call.wait + kForwardTimeout,
      [this, alive = alive_, exchange, job = call.job](net::SimpleCall::Outcome outcome) {
        if (!*alive) {
          return;
        }
        if (outcome.failure || outcome.head.headers.has(kNotOwnerHeader)) {
          refresh_owners();
          refuse(exchange, job,
                 outcome.failure ? "the owner did not answer" : "the called node is not the owner");
          return;
        }
        net::Headers headers = outcome.head.headers;
        headers.erase_connection_fields();
        exchange->respond(outcome.head.status, std::move(headers), outcome.body);
      });
}

void BatchService::refresh_owners() {
  const TimePoint now = net::steady_now();
  if (refreshing_owners_ || now - owners_refreshed_ < kOwnersInterval) {
    return;
  }
  refreshing_owners_ = true;
  owners_refreshed_ = now;
  log_.owners(topics_.group, [this, alive = alive_](const OwnersOutcome& outcome) {
    if (!*alive) {
      return;
    }
    refreshing_owners_ = false;
    if (outcome.status != LogStatus::kOk) {
      return;
    }
    for (const OwnersOutcome::Row& row : outcome.rows) {
      if (row.partition.topic == topics_.jobs) {
        owner_addresses_[row.partition.partition] = address_of(row.member);
      }
    }
  });
}

void BatchService::suggest_owners(const std::map<int, std::string>& owners) {
  owner_addresses_.insert(owners.begin(), owners.end());
}

void BatchService::tick(TimePoint now) {
  now_ = now;
  group_.tick(now);
  for (const auto& [partition, owner] : owners_) {
    owner->tick(now);
  }
  for (const int partition : std::exchange(fenced_, {})) {
    group_.fenced(partition);
  }
  executor_.tick(now);
  submissions_.tick(now, lease_valid(now));
  waiters_.remove_if([&](const Waiter& waiter) {
    if (waiter.exchange->answered()) {
      return true;
    }
    return now >= waiter.deadline && try_answer(waiter, true);
  });
  std::vector<int> idle;
  for (const auto& [partition, owner] : owners_) {
    if (!executor_.running_in(partition) && owner->pending_writes() == 0) {
      idle.push_back(partition);
    }
  }
  for (const int partition : idle) {
    group_.released(partition);
  }
}

void BatchService::drain() {
  draining_ = true;
  executor_.hand_over_all();
}

bool BatchService::drained() const {
  return executor_.running() == 0 && submissions_.empty() &&
         std::all_of(owners_.begin(), owners_.end(),
                     [](const auto& entry) { return entry.second->pending_writes() == 0; });
}

void BatchService::leave() {
  group_.leave();
}

void BatchService::on_acquired(int partition, std::uint64_t epoch) {
  spdlog::info("batch: partition acquired partition={} epoch={}", partition, epoch);
  owners_[partition] = std::make_unique<PartitionOwner>(
      context_.knobs, log_, topics_, partition, epoch,
      combine_hash(seed_, static_cast<std::uint64_t>(partition) + epoch),
      static_cast<PartitionOwnerObserver&>(*this));
  owner_addresses_[partition] = name_.control_address;
  owners_[partition]->tick(net::steady_now());
  update_metrics();
}

void BatchService::on_revoked(int partition) {
  spdlog::info("batch: partition revoked partition={}", partition);
  if (PartitionOwner* owner = owner_of(partition)) {
    owner->end_reads();
  }
  executor_.hand_over(partition);
}

void BatchService::on_ownership_uncertain(int partition) {
  if (PartitionOwner* owner = owner_of(partition)) {
    owner->verify();
  }
}

void BatchService::on_lost(int partition) {
  spdlog::info("batch: partition lost partition={}", partition);
  executor_.remove_partition(partition);
  owners_.erase(partition);
  owner_addresses_.erase(partition);
  update_metrics();
}

void BatchService::on_partition_active(int partition) {
  PartitionOwner* owner = owner_of(partition);
  spdlog::info("batch: partition active partition={} jobs={}", partition,
               owner->ledger().jobs().size());
  if (!draining_) {
    executor_.add_partition(*owner);
  }
  std::vector<std::string> jobs;
  for (const Waiter& waiter : waiters_) {
    jobs.push_back(waiter.call.job);
  }
  for (const std::string& job : jobs) {
    serve_waiters(job);
  }
}

void BatchService::on_job(int partition, const std::string& job) {
  PartitionOwner* owner = owner_of(partition);
  if (owner != nullptr && !draining_) {
    executor_.add_job(*owner, *owner->ledger().find(job));
  }
  serve_waiters(job);
}

void BatchService::on_job_ended(int partition, const std::string& job) {
  spdlog::info("batch: job ended by its client job={}", job);
  executor_.end_job(partition, job);
}

void BatchService::on_results(int /*partition*/, const std::string& job) {
  serve_waiters(job);
}

void BatchService::on_append_settled(int partition, const SettledAppend& append) {
  const char* outcome = settled_name(append.status);
  context_.metrics.count_settled_append(outcome);
  spdlog::info(
      "batch: append in doubt settled partition={} sequence={} records={} calls={} inDoubtMs={} "
      "outcome={}",
      partition, append.sequence, append.records, append.calls, to_ms(append.in_doubt), outcome);
}

void BatchService::on_partition_fenced(int partition, OwnershipEnd reason) {
  if (reason == OwnershipEnd::kFenced) {
    spdlog::warn("batch: partition fenced by a newer owner partition={}", partition);
  } else {
    spdlog::error("batch: partition given up partition={} why=\"append out of sequence\"",
                  partition);
  }
  fenced_.push_back(partition);
}

std::optional<OwnedJobs::State> BatchService::find(const std::string& job) const {
  const PartitionOwner* owner = owner_of(job_partition(job, log_.limits().partitions));
  if (owner == nullptr || !owner->active()) {
    return std::nullopt;
  }
  const LedgerJob* entry = owner->ledger().find(job);
  return entry == nullptr ? State{false, 0} : State{true, entry->waiting_tokens()};
}

std::vector<OwnedJobs::OpenJob> BatchService::open_jobs(const std::string& route) const {
  std::vector<OpenJob> open;
  for (const auto& [partition, owner] : owners_) {
    if (!owner->active()) {
      continue;
    }
    for (const auto& [id, entry] : owner->ledger().jobs()) {
      if (entry.ended || entry.complete()) {
        continue;
      }
      const RouteConfig* matched = context_.configuration->match(entry.job.host, entry.job.path);
      if (matched != nullptr && matched->name == route) {
        open.push_back({id, entry.job.tenant, entry.waiting_tokens()});
      }
    }
  }
  return open;
}

PartitionOwner* BatchService::owner_of(int partition) const {
  const auto found = owners_.find(partition);
  return found == owners_.end() ? nullptr : found->second.get();
}

void BatchService::update_metrics() {
  context_.metrics.set_partitions_owned(owners_.size());
}

}  // namespace dockpoint
