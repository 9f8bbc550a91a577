#include "gateway/batch_executor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dockpoint/batch/missing_route.hpp"
#include "dockpoint/batch/partial_output.hpp"
#include "dockpoint/core/hash.hpp"
#include "gateway/item_run.hpp"
#include "net/clock.hpp"
#include "net/head_check.hpp"

namespace dockpoint {
namespace {

/// @return whether `left` is preempted before `right`: overdue runs first, then the latest due
/// time.
bool preempted_before(const ItemRun& left, const ItemRun& right, std::int64_t now_ms) {
  const bool left_late = left.due().overdue(now_ms);
  const bool right_late = right.due().overdue(now_ms);
  return left_late != right_late ? left_late : left.due().at_ms > right.due().at_ms;
}

}  // namespace

void ItemProgress::restart() {
  restarted = restarted || saved_bytes > 0;
  saved_bytes = 0;
  produced.text.clear();
  produced.last_event.reset();
  produced.origin = {};
  waiting_for_origin_since.reset();
}

BatchExecutor::BatchExecutor(GatewayContext& context)
    : context_(context), rounding_(fraction_of(hash64(context.node))) {}

BatchExecutor::~BatchExecutor() = default;

void BatchExecutor::add_partition(PartitionOwner& owner) {
  owners_[owner.partition()] = &owner;
  suspended_.erase(owner.partition());
  for (const auto& [id, job] : owner.ledger().jobs()) {
    add_job(owner, job);
  }
}

void BatchExecutor::add_job(PartitionOwner& owner, const LedgerJob& job) {
  if (job.ended) {
    return;
  }
  for (std::uint32_t item = 0; item < job.job.items.size(); ++item) {
    if (!job.listed[item] && !owner.has_pending_result(job.job.id, item)) {
      enqueue({owner.partition(), job.job.id, item});
    }
  }
}

void BatchExecutor::enqueue(const ItemRef& ref) {
  const LedgerJob* job = job_of(ref);
  if (job == nullptr || suspended_.contains(ref.partition)) {
    return;
  }
  load_progress(ref);
  const RouteConfig* route = route_of(*job, job->job.items[ref.item]);
  if (route == nullptr) {
    without_route_.try_emplace(ref, net::steady_now());
    return;
  }
  without_route_.erase(ref);
  const std::int64_t now_ms = net::unix_now_ms();
  const DueTime due = due_time(job->job.submitted_ms, route->completion_target);
  const auto expires = expiry_time(context_.knobs, job->job.submitted_ms, route->retention);
  const WaitingItem item{due.overdue(now_ms), due, ref, expires};
  if (item.expired(now_ms)) {
    give_up(ref, "its time is over");
    return;
  }
  // Items of a route without services wait for one.
  waiting_.add(route->services.empty() ? std::string{} : route->services.front().service, item);
}

void BatchExecutor::load_progress(const ItemRef& ref) {
  const auto [progress, added] = progress_.try_emplace(ref);
  const auto* loaded =
      added ? owners_[ref.partition]->ledger().checkpoint(ref.job, ref.item) : nullptr;
  if (loaded != nullptr) {
    progress->second.produced = loaded->checkpoint;
    progress->second.saved_bytes = loaded->checkpoint.text.size();
    progress->second.saved_failures = loaded->checkpoint.failures;
  }
}

void BatchExecutor::remove_partition(int partition) {
  owners_.erase(partition);
  suspended_.erase(partition);
  const auto runs = runs_;
  for (const auto& run : runs) {
    if (run->ref().partition == partition) {
      run->cancel();
      runs_.erase(run);
    }
  }
  remove_waiting([&](const ItemRef& ref) { return ref.partition == partition; });
  std::erase_if(progress_, [&](const auto& entry) { return entry.first.partition == partition; });
}

void BatchExecutor::remove_waiting(const std::function<bool(const ItemRef&)>& matches) {
  waiting_.remove_if([&](const WaitingItem& entry) { return matches(entry.ref); });
  std::erase_if(delayed_, [&](const auto& entry) { return matches(entry.second); });
  std::erase_if(without_route_, [&](const auto& entry) { return matches(entry.first); });
}

void BatchExecutor::hand_over(int partition) {
  suspended_.insert(partition);
  remove_waiting([&](const ItemRef& ref) { return ref.partition == partition; });
  const auto runs = runs_;
  for (const auto& run : runs) {
    if (run->ref().partition == partition) {
      run->cancel();
      runs_.erase(run);
    }
  }
  for (auto& [ref, progress] : progress_) {
    if (ref.partition == partition) {
      save_progress(ref, progress);
    }
  }
}

void BatchExecutor::hand_over_all() {
  for (const auto& [partition, owner] : owners_) {
    hand_over(partition);
  }
}

void BatchExecutor::save_all_progress() {
  for (auto& [ref, progress] : progress_) {
    save_progress(ref, progress);
  }
}

void BatchExecutor::save_progress(const ItemRef& ref, ItemProgress& progress) {
  PartitionOwner* owner = owner_of(ref.partition);
  const bool changed = progress.produced.text.size() > progress.saved_bytes || progress.restarted ||
                       progress.produced.failures != progress.saved_failures;
  if (owner == nullptr || !changed) {
    return;
  }
  const ItemCheckpoint added{progress.produced.text.substr(progress.saved_bytes),
                             progress.produced.last_event, progress.produced.failures,
                             progress.produced.origin};
  if (!owner->write_checkpoint(ref.job, ref.item, added, progress.restarted)) {
    spdlog::warn("batch: output too large for a checkpoint job={} item={} bytes={}", ref.job,
                 ref.item, added.text.size());
    return;  // After a hand-over the item resumes from its previous checkpoint.
  }
  progress.restarted = false;
  progress.saved_bytes = progress.produced.text.size();
  progress.saved_failures = progress.produced.failures;
}

void BatchExecutor::end_job(int partition, const std::string& job) {
  const auto matches = [&](const ItemRef& ref) {
    return ref.partition == partition && ref.job == job;
  };
  const auto runs = runs_;
  for (const auto& run : runs) {
    if (matches(run->ref())) {
      run->cancel();
      runs_.erase(run);
    }
  }
  remove_waiting(matches);
  std::erase_if(progress_, [&](const auto& entry) { return matches(entry.first); });
}

bool BatchExecutor::running_in(int partition) const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [&](const auto& run) { return run->ref().partition == partition; });
}

void BatchExecutor::tick(TimePoint now) {
  if (start_allowed_at_ == TimePoint{}) {
    start_allowed_at_ = now + context_.knobs.batch_start_delay;
  }
  if (routes_version_ != context_.configuration->version) {
    routes_version_ = context_.configuration->version;
    reconsider_routes(now);
  }
  const auto runs = runs_;
  for (const auto& run : runs) {
    run->tick(now);
  }
  if (now >= next_expiry_check_) {
    constexpr Duration kExpiryInterval = std::chrono::seconds(1);
    next_expiry_check_ = now + kExpiryInterval;
    give_up_expired();
    give_up_without_route(now);
  }
  if (now >= next_checkpoint_) {
    next_checkpoint_ = now + context_.knobs.checkpoint_interval;
    save_all_progress();
  }
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const ItemRef ref = delayed_.begin()->second;
    delayed_.erase(delayed_.begin());
    enqueue(ref);
  }
  if (now >= next_audit_ && !owners_.empty()) {
    next_audit_ = now + context_.knobs.item_audit_interval;
    audit(now, shares());
  }
  if (waiting_.size() == 0 && runs_.empty()) {
    return;
  }
  const Shares current = shares();
  for (const auto& [service, share] : current) {
    preempt_excess_runs(service, share);
  }
  if (now >= start_allowed_at_) {
    start_waiting(now, current);
  }
}

BatchExecutor::Shares BatchExecutor::shares() const {
  std::map<std::string, FleetLoad> loads;
  for (const std::string& service : waiting_.services()) {
    loads[service] = {};
  }
  for (const auto& run : runs_) {
    loads[run->service()] = {};
  }
  for (const auto& [id, replica] : context_.replicas.all()) {
    const auto load = loads.find(replica.record.service);
    if (load != loads.end() && context_.replicas.takes_work(replica)) {
      load->second.slots += replica.record.slots;
      load->second.reserved += reserved_slots(context_.knobs, replica.record.slots);
      load->second.online += replica.all_online();
    }
  }
  Shares shares;
  for (auto& [service, load] : loads) {
    load.rounding = rounding_;
    load.own_items = static_cast<double>(pending());
    load.all_items = load.own_items + static_cast<double>(context_.replicas.peer_pending_items());
    shares.emplace(service, BatchShare(context_.knobs, load));
  }
  return shares;
}

std::map<std::string, std::size_t> BatchExecutor::running_by_service() const {
  std::map<std::string, std::size_t> running;
  for (const auto& run : runs_) {
    ++running[run->service()];
  }
  return running;
}

bool BatchExecutor::is_urgent(const DueTime& due) const {
  return due.urgent(context_.knobs, net::unix_now_ms());
}

void BatchExecutor::start_waiting(TimePoint now, const Shares& shares) {
  const std::int64_t now_ms = net::unix_now_ms();
  const std::map<std::string, std::size_t> running = running_by_service();
  services_without_room_.clear();
  for (const std::string& service : waiting_.services()) {
    const auto share = shares.find(service);
    if (share == shares.end()) {
      continue;  // Its first item was queued after the shares were computed.
    }
    const auto occupied = running.find(service);
    const bool no_room = waiting_.start_round(
        service, context_.knobs, share->second, occupied == running.end() ? 0 : occupied->second,
        now_ms, [&](const WaitingItem& item) { return start(item, now); });
    if (no_room) {
      services_without_room_.insert(service);
    }
  }
}

bool BatchExecutor::yield_slot(const std::string& replica) {
  const std::int64_t now_ms = net::unix_now_ms();
  std::shared_ptr<ItemRun> chosen;
  for (const auto& run : runs_) {
    if (run->replica() == replica && (!chosen || preempted_before(*run, *chosen, now_ms))) {
      chosen = run;
    }
  }
  if (!chosen) {
    return false;
  }
  progress_[chosen->ref()].last_replica = replica;
  chosen->cancel();
  runs_.erase(chosen);
  context_.metrics.count_item("yielded");
  retry(chosen->ref(), context_.knobs.yield_request_pause, net::steady_now());
  return true;
}

void BatchExecutor::audit(TimePoint now, const Shares& shares) {
  std::size_t open = 0;
  std::size_t unscheduled = 0;
  for (const auto& [partition, owner] : owners_) {
    if (suspended_.contains(partition)) {
      continue;
    }
    const ItemAudit audit = audit_items(owner->ledger(), scheduled_items(partition));
    open += audit.open;
    for (const auto& [job, item] : audit.unscheduled) {
      if (!owner->has_pending_result(job, item)) {
        ++unscheduled;
        spdlog::error("batch: item was not scheduled job={} item={}", job, item);
        enqueue({partition, job, item});
      }
    }
  }
  if (open > 0) {
    spdlog::info(
        "batch: items open={} waiting={} delayed={} running={} withoutRoute={} unscheduled={} "
        "sinceLastStartMs={}",
        open, waiting_.size(), delayed_.size(), runs_.size(), without_route_.size(), unscheduled,
        to_ms(now - last_start_));
    log_services(shares);
  }
}

void BatchExecutor::log_services(const Shares& shares) const {
  const std::map<std::string, std::size_t> running = running_by_service();
  for (const auto& [service, share] : shares) {
    const auto runs = running.find(service);
    spdlog::info(
        "batch: items of service={} waiting={} running={} allowed={} allowedUrgent={} room={}",
        service, waiting_.size_of(service), runs == running.end() ? 0 : runs->second,
        share.non_urgent(), share.urgent(), !services_without_room_.contains(service));
  }
}

std::set<ItemKey> BatchExecutor::scheduled_items(int partition) const {
  std::set<ItemKey> items;
  const auto add = [&](const ItemRef& ref) {
    if (ref.partition == partition) {
      items.insert({ref.job, ref.item});
    }
  };
  waiting_.for_each([&](const WaitingItem& entry) { add(entry.ref); });
  std::for_each(delayed_.begin(), delayed_.end(), [&](const auto& entry) { add(entry.second); });
  std::for_each(without_route_.begin(), without_route_.end(),
                [&](const auto& entry) { add(entry.first); });
  std::for_each(runs_.begin(), runs_.end(), [&](const auto& run) { add(run->ref()); });
  return items;
}

void BatchExecutor::preempt_excess_runs(const std::string& service, const BatchShare& share) {
  std::size_t running = 0;
  std::vector<std::shared_ptr<ItemRun>> non_urgent;
  for (const auto& run : runs_) {
    if (run->service() != service) {
      continue;
    }
    ++running;
    if (!is_urgent(run->due())) {
      non_urgent.push_back(run);
    }
  }
  const std::size_t excess = share.excess(running, running - non_urgent.size());
  if (excess == 0) {
    return;
  }
  spdlog::info("batch: runs preempted by online requests service={} count={} running={} allowed={}",
               service, excess, running, share.non_urgent());
  std::sort(non_urgent.begin(), non_urgent.end(), [](const auto& left, const auto& right) {
    return left->due().at_ms > right->due().at_ms;
  });
  for (std::size_t index = 0; index < excess; ++index) {
    const std::shared_ptr<ItemRun>& run = non_urgent[index];
    run->cancel();
    runs_.erase(run);
    context_.metrics.count_item("yielded");
    enqueue(run->ref());
  }
}

const RouteConfig* BatchExecutor::route_of(const LedgerJob& job, const BatchItem& item) const {
  for (const std::string& path : {item.path, job.job.path}) {
    const RouteConfig* route = context_.configuration->match(job.job.host, path);
    if (route != nullptr && route->kind == RouteKind::kBatch) {
      return route;
    }
  }
  return nullptr;
}

void BatchExecutor::reconsider_routes(TimePoint now) {
  std::vector<ItemRef> items;
  for (const WaitingItem& entry : waiting_.remove_if([](const auto&) { return true; })) {
    items.push_back(entry.ref);
  }
  std::for_each(without_route_.begin(), without_route_.end(),
                [&](const auto& entry) { items.push_back(entry.first); });
  std::for_each(items.begin(), items.end(), [&](const ItemRef& ref) { enqueue(ref); });
  if (!without_route_.empty()) {
    const Duration age = context_.configuration_age ? context_.configuration_age() : Duration{};
    spdlog::warn("batch: items have no route items={} version={} confirmedMsAgo={} sinceMs={}",
                 without_route_.size(), routes_version_, to_ms(age),
                 to_ms(now - without_route_.begin()->second));
  }
}

StartOutcome BatchExecutor::start(const WaitingItem& entry, TimePoint now) {
  const ItemRef& ref = entry.ref;
  const LedgerJob* job = job_of(ref);
  if (job == nullptr || job->ended || job->listed[ref.item]) {
    return StartOutcome::kNotNow;
  }
  const BatchItem& item = job->job.items[ref.item];
  const RouteConfig* route = route_of(*job, item);
  if (route == nullptr || route->services.empty()) {
    return StartOutcome::kNoRoom;  // Until another version of the configuration queues it anew.
  }
  RequestInfo info = context_.protocol.read_item(item);
  ItemProgress& kept = progress_[ref];
  ReplicaQuery query{route->services.front().service, TrafficClass::kBatch, info.prompt, {}, {}};
  if (kept.produced.last_event && !resume_or_restart(ref, kept, query, now)) {
    retry(ref, context_.knobs.item_origin_pause, now);
    return StartOutcome::kNotNow;
  }
  const ReplicaChoice choice = choose_replica(query, kept, now);
  if (choice.replica == nullptr) {
    return StartOutcome::kNoRoom;
  }
  const net::RequestHead head = context_.protocol.item_request(
      job->job, item,
      {choice.replica->record.registered_name(), kItemDeadline, kept.produced.last_event});
  if (const auto fault = net::find_fault(head)) {
    // An older build accepted it.
    spdlog::warn("batch: item cannot be sent as one request job={} item={} fault={}", ref.job,
                 ref.item, net::to_string(*fault));
    give_up(ref, "it cannot be sent as one request");
    return StartOutcome::kNotNow;
  }
  const auto run = std::make_shared<ItemRun>(*this, ref, item.id, std::move(info),
                                             std::max(1, route->attempts), entry.due);
  runs_.insert(run);
  last_start_ = now;
  run->start(*choice.replica, net::serialize(head) + item.body, choice.missing_tokens, now);
  return StartOutcome::kStarted;
}

bool BatchExecutor::resume_or_restart(const ItemRef& ref, ItemProgress& kept, ReplicaQuery& query,
                                      TimePoint now) {
  const StreamOrigin& origin = kept.produced.origin;
  PartialOutput output;
  output.events = *kept.produced.last_event;
  output.origin_known = !origin.unknown() && origin.service == query.service;
  output.origin_serves = context_.replicas.serves(origin.service, origin.software_version);
  output.other_has_room = context_.selector.has_candidate(query, now);
  query.software_version = origin.software_version;
  output.origin_has_room = context_.selector.has_candidate(query, now);
  output.waited = now - kept.waiting_for_origin_since.value_or(now);
  switch (decide_partial_output(output, context_.knobs)) {
    case PartialOutputStep::kResume:
      kept.waiting_for_origin_since.reset();
      return true;
    case PartialOutputStep::kWait:
      kept.waiting_for_origin_since = kept.waiting_for_origin_since.value_or(now);
      return false;
    case PartialOutputStep::kRestart:
      context_.metrics.count_item("restarted");
      spdlog::info(
          "batch: item starts again job={} item={} events={} service={} software={} serves={} "
          "waitedMs={}",
          ref.job, ref.item, output.events, origin.service,
          origin.unknown() ? "unknown" : origin.software_version, output.origin_serves,
          to_ms(output.waited));
      kept.restart();
      query.software_version.clear();
      return true;
  }
  return true;
}

ReplicaChoice BatchExecutor::choose_replica(ReplicaQuery query, const ItemProgress& kept,
                                            TimePoint now) {
  if (!kept.last_replica.empty()) {
    query.excluded.insert(kept.last_replica);
  }
  const ReplicaChoice choice = context_.selector.choose(query, now);
  if (choice.replica != nullptr || query.excluded.empty()) {
    return choice;
  }
  query.excluded.clear();  // Only the replica of the last interrupted run is available.
  return context_.selector.choose(query, now);
}

void BatchExecutor::give_up_expired() {
  const std::int64_t now_ms = net::unix_now_ms();
  for (const WaitingItem& item :
       waiting_.remove_if([&](const WaitingItem& waiting) { return waiting.expired(now_ms); })) {
    give_up(item.ref, "its time is over");
  }
}

void BatchExecutor::give_up_without_route(TimePoint now) {
  if (without_route_.empty() || !context_.configuration_age) {
    return;
  }
  const TimePoint confirmed_at = now - context_.configuration_age();
  std::vector<ItemRef> removed;
  for (const auto& [ref, since] : without_route_) {
    if (!suspended_.contains(ref.partition) &&
        removed_for_good({since, confirmed_at}, context_.knobs)) {
      removed.push_back(ref);
    }
  }
  for (const ItemRef& ref : removed) {
    without_route_.erase(ref);
    give_up(ref, "its route was removed");
  }
}

void BatchExecutor::give_up(const ItemRef& ref, const char* why) {
  spdlog::warn("batch: item given up job={} item={} version={} why=\"{}\"", ref.job, ref.item,
               context_.configuration->version, why);
  context_.metrics.count_item("given_up");
  complete(ref, false, {});
}

void BatchExecutor::retry(const ItemRef& ref, Duration delay, TimePoint now) {
  if (owners_.contains(ref.partition)) {
    delayed_.emplace(now + delay, ref);
  }
}

void BatchExecutor::complete(const ItemRef& ref, bool succeeded, std::string text) {
  progress_.erase(ref);
  if (PartitionOwner* owner = owner_of(ref.partition)) {
    owner->write_result(ref.job, {ref.item, succeeded, std::move(text)});
  }
}

std::size_t BatchExecutor::largest_text(int partition) const {
  const PartitionOwner* owner = owner_of(partition);
  return owner == nullptr ? 0 : owner->largest_text();
}

void BatchExecutor::remove_run(const std::shared_ptr<ItemRun>& run) {
  runs_.erase(run);
}

PartitionOwner* BatchExecutor::owner_of(int partition) const {
  const auto found = owners_.find(partition);
  return found == owners_.end() ? nullptr : found->second;
}

const LedgerJob* BatchExecutor::job_of(const ItemRef& ref) const {
  const PartitionOwner* owner = owner_of(ref.partition);
  const LedgerJob* job = owner == nullptr ? nullptr : owner->ledger().find(ref.job);
  return job != nullptr && ref.item < job->job.items.size() ? job : nullptr;
}

}  // namespace dockpoint
