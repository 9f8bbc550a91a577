#include "dockpoint/batch/token_quota.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Delay before retrying after a failed call.
constexpr Duration kRetryPause = std::chrono::milliseconds(120);

/// Share of the limit that is divided among the nodes as allotments. Nodes have allotments only
/// while the reservations are below this share of the limit.
constexpr double kAllottedShare = 0.5;

/// Time after the start during which the number of other nodes is not known yet, so that a node
/// must not use an allotment.
constexpr Duration kFleetDiscoveryTime = std::chrono::seconds(3);

/// Maximum number of corrections or removals per append.
constexpr std::size_t kMaxCorrections = 200;

}  // namespace

TokenQuota::TokenQuota(const Knobs& knobs, PartitionedLog& log, TopicPartition partition,
                       std::string route, const OwnedJobs& jobs, std::uint64_t seed)
    : knobs_(knobs),
      log_(log),
      partition_(std::move(partition)),
      route_name_(std::move(route)),
      jobs_(jobs),
      table_(route_name_),
      watch_(knobs, log, partition_, seed, *this, WatchMode::kOnDemand) {}

TokenQuota::~TokenQuota() {
  life_->alive = false;
}

void TokenQuota::on_snapshot(const std::vector<KeyedRecord>& records) {
  table_.clear();
  for (const KeyedRecord& record : records) {
    table_.apply(record);
  }
  for (const auto& [job, reservation] : table_.all()) {
    record_job_size(reservation.tokens);
  }
}

void TokenQuota::on_record(const KeyedRecord& record) {
  const auto existing = table_.find_record(record);
  const double released = table_.apply(record);
  if (existing && released > 0) {
    released_.try_emplace(existing->tenant, knobs_.quota_release_memory)
        .first->second.add(now_, released);
  }
}

void TokenQuota::on_caught_up() {
  refreshed_ = refresh_asked_;
  next_audit_ = std::min(next_audit_, now_ + audit_interval());
  renew_allotments();
  const auto life = life_;
  decide();
  if (life->alive && audit_due_) {
    audit();
  }
}

void TokenQuota::on_reachable(bool /*reachable*/, Duration /*silence*/) {}

void TokenQuota::record_job_size(double tokens) {
  largest_job_ = std::max(largest_job_, tokens);
}

bool TokenQuota::allotments_enabled() const {
  return kAllottedShare * route_.limit / static_cast<double>(route_.nodes) >= largest_job_;
}

double TokenQuota::usable_limit(const std::string& tenant) const {
  if (!allotments_enabled()) {
    return route_.limit;
  }
  // Every allotment still in effect was granted more recently than this, and the jobs of earlier
  // allotments are accepted or abandoned by now.
  const Duration oldest =
      knobs_.quota_allotment_time + knobs_.submission_wait + knobs_.clock_error / 2;
  const double old = table_.tokens_reserved_before(tenant, now_ms_ - to_ms(oldest));
  const double allotted = old >= kAllottedShare * route_.limit ? 0 : kAllottedShare;
  return (1 - allotted) * route_.limit;
}

void TokenQuota::renew_allotments() {
  allotted_tokens_.clear();
  allotments_until_ = {};
  const bool fleet_known = now_ - started_ >= kFleetDiscoveryTime;
  if (!fleet_known || !allotments_enabled()) {
    return;
  }
  for (const Pending& pending : allotted_) {
    allotted_tokens_[pending.request.tenant] +=
        pending.request.tokens;  // Not visible in the topic yet.
  }
  allotments_until_ = refreshed_ + knobs_.quota_allotment_time;
}

double TokenQuota::allotment(const std::string& tenant) const {
  if (now_ >= allotments_until_ || !allotments_enabled() ||
      table_.tokens(tenant) >= kAllottedShare * route_.limit) {
    return 0;
  }
  const auto taken = allotted_tokens_.find(tenant);
  return kAllottedShare * route_.limit / static_cast<double>(route_.nodes) -
         (taken == allotted_tokens_.end() ? 0 : taken->second);
}

bool TokenQuota::is_recent(const TokenReservation& reservation) const {
  return now_ms_ - reservation.reserved_ms < to_ms(knobs_.quota_recent);
}

Duration TokenQuota::time_to_free(const std::string& tenant, double tokens) const {
  constexpr Duration kUnknownRate = std::chrono::seconds(1);
  const auto released = released_.find(tenant);
  const double rate = released == released_.end() ? 0 : released->second.per_second(now_);
  const Duration expected =
      rate <= 0
          ? kUnknownRate
          : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / rate));
  return std::clamp(expected, knobs_.quota_retry_earliest, knobs_.quota_retry_latest);
}

QuotaStart TokenQuota::reserve(QuotaRequest request, Done done) {
  record_job_size(request.tokens);
  const bool covered = request.tokens <= allotment(request.tenant) && !table_.find(request.job);
  if (covered) {
    allotted_tokens_[request.tenant] += request.tokens;
    allotted_.push_back({std::move(request), std::move(done)});
    write_allotted();
    return QuotaStart::kProceed;
  }
  waiting_.push_back({std::move(request), std::move(done)});
  refresh();
  return QuotaStart::kWait;
}

void TokenQuota::refresh() {
  refresh_asked_ = now_;
  watch_.refresh();
}

void TokenQuota::decide() {
  if (deciding_ || waiting_.empty() || now_ < retry_at_) {
    return;
  }
  std::map<std::string, double> taken_tokens;  // Tokens granted in this round, by tenant.
  PendingList known;
  PendingList taken;
  PendingList refused;
  std::vector<Duration> pauses;
  for (Pending& pending : std::exchange(waiting_, {})) {
    const std::string& tenant = pending.request.tenant;
    const double limit = usable_limit(tenant);
    const double tokens = table_.tokens(tenant) + taken_tokens[tenant];
    const auto existing = table_.find(pending.request.job);
    if (existing && is_recent(*existing)) {
      known.push_back(std::move(pending));
    } else if (existing || tokens + pending.request.tokens <= limit) {
      taken_tokens[tenant] += existing ? 0 : pending.request.tokens;
      taken.push_back(std::move(pending));
    } else {
      pauses.push_back(time_to_free(tenant, tokens + pending.request.tokens - limit));
      refused.push_back(std::move(pending));
    }
  }
  const auto life = life_;
  append_reservations(std::move(taken));
  answer(std::move(known), QuotaVerdict::kReserved);
  for (std::size_t index = 0; life->alive && index < refused.size(); ++index) {
    refused[index].done({QuotaVerdict::kOverLimit, pauses[index]});
  }
}

void TokenQuota::append_reservations(PendingList taken) {
  if (taken.empty()) {
    return;
  }
  std::vector<KeyedRecord> records;
  for (const Pending& pending : taken) {
    const auto existing = table_.find(pending.request.job);
    const double tokens = existing ? existing->tokens : pending.request.tokens;
    records.push_back(reservation_record(route_name_, pending.request.job,
                                         {tokens, now_ms_, pending.request.tenant}));
  }
  deciding_ = true;
  log_.append_at(
      partition_, watch_.position(), records,
      [this, life = life_, taken = std::move(taken)](const AppendOutcome& outcome) mutable {
        if (!life->alive) {
          return;
        }
        deciding_ = false;
        if (outcome.status == LogStatus::kOk) {
          answer(std::move(taken), QuotaVerdict::kReserved);
          return;
        }
        // Another node appended first, or the answer was lost: read the topic to find out.
        std::move(taken.begin(), taken.end(), std::back_inserter(waiting_));
        if (outcome.status != LogStatus::kEndMoved) {
          retry_at_ = now_ + kRetryPause;
        }
        refresh();
      });
}

void TokenQuota::write_allotted() {
  if (writing_ || allotted_.empty() || now_ < retry_at_) {
    return;
  }
  std::vector<KeyedRecord> records;
  for (const Pending& pending : allotted_) {
    records.push_back(
        reservation_record(route_name_, pending.request.job,
                           {pending.request.tokens, now_ms_, pending.request.tenant}));
  }
  writing_ = true;
  const std::size_t count = allotted_.size();
  log_.append(partition_, records, std::nullopt,
              [this, life = life_, count](const AppendOutcome& outcome) {
                if (!life->alive) {
                  return;
                }
                writing_ = false;
                if (outcome.status != LogStatus::kOk) {
                  retry_at_ = now_ + kRetryPause;
                  return;
                }
                // Requests added in the meantime are behind these; none is removed during a write.
                const auto end = allotted_.begin() + static_cast<std::ptrdiff_t>(count);
                PendingList written(std::make_move_iterator(allotted_.begin()),
                                    std::make_move_iterator(end));
                allotted_.erase(allotted_.begin(), end);
                answer(std::move(written), QuotaVerdict::kReserved);
              });
}

void TokenQuota::answer(PendingList pending, QuotaVerdict verdict) {
  for (const Pending& entry : pending) {
    entry.done({verdict, {}});
  }
}

void TokenQuota::tick(TimePoint now, std::int64_t now_ms, const QuotaRoute& route) {
  now_ = now;
  now_ms_ = now_ms;
  route_ = {route.limit, std::max({route.nodes, route_.nodes, std::size_t{1}})};
  if (started_ == TimePoint{}) {
    started_ = now;
    next_audit_ = now + knobs_.quota_audit_interval_near;
  }
  const auto life = life_;
  watch_.tick(now);
  if (!life->alive) {
    return;
  }
  expire();
  if (!life->alive) {
    return;
  }
  write_allotted();
  const bool decision_due = !waiting_.empty() && !deciding_ && now >= retry_at_;
  if (now >= next_audit_) {
    next_audit_ = now + audit_interval();
    audit_due_ = true;
  }
  if (decision_due || audit_due_) {
    refresh();
  }
}

void TokenQuota::expire() {
  const auto in_time = [&](const Pending& pending) { return now_ < pending.request.deadline; };
  PendingList expired;
  const auto move_expired = [&](PendingList& list) {
    const auto first = std::stable_partition(list.begin(), list.end(), in_time);
    std::move(first, list.end(), std::back_inserter(expired));
    list.erase(first, list.end());
  };
  move_expired(waiting_);
  if (!writing_) {
    move_expired(allotted_);
  }
  answer(std::move(expired), QuotaVerdict::kUnavailable);
}

Duration TokenQuota::audit_interval() const {
  const bool near = table_.most_tokens() > knobs_.quota_near * route_.limit;
  return near ? knobs_.quota_audit_interval_near : knobs_.quota_audit_interval;
}

void TokenQuota::audit() {
  if (deciding_) {
    return;
  }
  audit_due_ = false;
  const std::vector<KeyedRecord> differences = corrections();
  if (!differences.empty()) {
    // A delayed correction is safe: a job's waiting tokens only decrease.
    log_.append(partition_, differences, std::nullopt, [](const AppendOutcome& /*outcome*/) {
      // If the append failed, the next audit finds the same differences.
    });
    return;
  }
  const std::vector<KeyedRecord> records = removals();
  if (records.empty()) {
    return;
  }
  deciding_ = true;
  log_.append_at(partition_, watch_.position(), records,
                 [this, life = life_](const AppendOutcome& /*outcome*/) {
                   if (life->alive) {
                     deciding_ = false;
                   }
                 });
}

std::vector<KeyedRecord> TokenQuota::corrections() const {
  std::vector<KeyedRecord> records;
  for (const auto& [job, existing] : table_.all()) {
    const auto state = jobs_.find(job);
    if (state && state->known && state->waiting_tokens != existing.tokens) {
      records.push_back(reservation_record(
          route_name_, job, {state->waiting_tokens, existing.reserved_ms, existing.tenant}));
    }
  }
  for (const OwnedJobs::OpenJob& open : jobs_.open_jobs(route_name_)) {
    if (open.waiting_tokens > 0 && !table_.find(open.id)) {
      records.push_back(
          reservation_record(route_name_, open.id, {open.waiting_tokens, now_ms_, open.tenant}));
    }
  }
  records.resize(std::min(records.size(), kMaxCorrections));
  return records;
}

std::vector<KeyedRecord> TokenQuota::removals() const {
  std::vector<KeyedRecord> records;
  for (const auto& [job, existing] : table_.all()) {
    const auto state = jobs_.find(job);
    const std::int64_t age = now_ms_ - existing.reserved_ms;
    const bool orphan = state && !state->known && age > to_ms(knobs_.quota_orphan_age);
    const bool finished_long_ago =
        state && state->known && existing.tokens <= 0 && age > to_ms(knobs_.quota_finished_age);
    if ((orphan || finished_long_ago) && records.size() < kMaxCorrections) {
      records.push_back(reservation_removal(route_name_, job));
    }
  }
  return records;
}

}  // namespace dockpoint
