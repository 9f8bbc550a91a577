#include "dockpoint/node/node_controller.hpp"

#include <algorithm>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// A peer's newer configuration is asked for at most this often.
constexpr Duration kFetchInterval = 300ms;
/// Expected time of one item, for the order of jobs only.
constexpr double kExpectedItemSeconds = 1.0;

/// @return the member with the highest rendezvous score for `key`, or null.
const Member* highest_score(const std::vector<const Member*>& members, const std::string& key) {
  const auto best =
      std::max_element(members.begin(), members.end(), [&](const auto* left, const auto* right) {
        return rendezvous_score(key, left->id) < rendezvous_score(key, right->id);
      });
  return best == members.end() ? nullptr : *best;
}

}  // namespace

NodeController::NodeController(NodeOptions options, NodeActions& actions)
    : options_(std::move(options)),
      actions_(actions),
      record_ids_(hash64(options_.self.id, options_.self.incarnation)),
      membership_(options_.knobs, options_.self, options_.random_seed, actions),
      digest_relay_(options_.knobs, membership_, actions),
      configuration_(options_.knobs.mechanisms),
      engines_(options_.knobs),
      router_(options_.knobs, engines_, options_.self.zone, options_.random_seed + 1),
      online_(options_.knobs, engines_, router_, actions) {
  membership_.set_candidates(options_.seeds);
}

void NodeController::notice_time(TimePoint now) {
  const bool paused = last_event_ && now - *last_event_ > options_.knobs.pause_threshold;
  last_event_ = now;
  if (paused && options_.knobs.mechanisms.pause_hold) {
    pause_noticed_ = now;
    held_until_ = now + options_.knobs.pause_hold;
    online_.hold(held_until_);
  }
}

void NodeController::submit_online(OnlineRequest request, TimePoint now) {
  notice_time(now);
  online_.submit(std::move(request), now);
}

void NodeController::online_attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now) {
  notice_time(now);
  online_.attempt_ended(request, end, now);
}

void NodeController::tick(TimePoint now, UnixSeconds wall_clock) {
  notice_time(now);
  membership_.tick(now);
  refresh_placement();
  update_partitions(now, wall_clock);
  poll_engines(now);
  send_digests(now);
  online_.tick(now);
  stop_cancelled_items();
  dispatch_batch(now, wall_clock);
}

void NodeController::peer_message(const PeerMessage& message, TimePoint now) {
  notice_time(now);
  membership_.receive(message, now);
  for (const EngineDigest& digest : message.digests) {
    engines_.report(digest, now);
  }
  digest_relay_.receive(message);
  const bool newer = message.configuration_revision > configuration_.current().revision &&
                     options_.knobs.mechanisms.configuration_spread;
  if (newer && now >= next_fetch_) {
    next_fetch_ = now + kFetchInterval;
    actions_.fetch_configuration(message.sender.api_address);
  }
}

void NodeController::configuration_read(Offset first, const std::vector<std::string>& records,
                                        TimePoint now) {
  notice_time(now);
  const std::uint64_t before = configuration_.current().revision;
  for (std::size_t index = 0; index < records.size(); ++index) {
    const Offset offset = first + index;
    const auto change = unpack<ConfigurationChange>(records[index]);
    if (!change) {
      configuration_.skip(offset);
      continue;
    }
    const ChangeOutcome outcome = configuration_.apply(offset, *change);
    const auto waiting = proposed_changes_.find(change->id);
    if (waiting != proposed_changes_.end()) {
      const ChangeConfirmation confirmation = std::move(waiting->second);
      proposed_changes_.erase(waiting);
      confirmation(outcome);
    }
  }
  if (configuration_.current().revision != before) {
    configuration_changed(now);
  }
}

void NodeController::configuration_fetched(const ConfigurationRevision& revision, TimePoint now) {
  if (configuration_.adopt(revision)) {
    configuration_changed(now);
  }
}

void NodeController::configuration_changed(TimePoint now) {
  membership_.set_configuration_revision(configuration_.current().revision);
  engines_.configure(configuration_.config());
  online_.configure(now);
}

void NodeController::propose_configuration(ConfigurationChange change,
                                           ChangeConfirmation confirmation) {
  proposed_changes_[change.id] = std::move(confirmation);
  actions_.append_configuration(change);
}

void NodeController::machines_listed(const std::vector<MachineEntry>& machines,
                                     TimePoint read_started, TimePoint now) {
  notice_time(now);
  std::vector<std::string> candidates = options_.seeds;
  std::vector<std::string> leaving_engines;
  for (const MachineEntry& machine : machines) {
    if (machine.is_node && !machine.leaving) {
      candidates.push_back(machine.address);
    }
    if (!machine.is_node && machine.leaving) {
      leaving_engines.push_back(machine.address);
    }
  }
  membership_.set_candidates(candidates);
  engines_.set_leaving_addresses(leaving_engines);
  // A read that was under way during the pause brings old news.
  if (read_started >= pause_noticed_) {
    held_until_ = TimePoint{};
    online_.release(now);
  }
}

void NodeController::load_polled(const std::string& engine, const EngineLoad& load, TimePoint now) {
  notice_time(now);
  engines_.report(engine, load, now);
}

void NodeController::checkpoint_loaded(int partition, const std::optional<std::string>& snapshot) {
  const auto found = partitions_.find(partition);
  if (found != partitions_.end()) {
    found->second->checkpoint_loaded(snapshot);
  }
}

void NodeController::partition_read(int partition, Offset first,
                                    const std::vector<std::string>& records, bool at_tail,
                                    TimePoint read_started, TimePoint now) {
  notice_time(now);
  const auto found = partitions_.find(partition);
  if (found != partitions_.end()) {
    found->second->records_read(first, records, at_tail, read_started, now);
  }
}

Offset NodeController::next_offset(int partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? 0 : found->second->state().next_offset();
}

const Member* NodeController::preferred_owner(int partition) const {
  const auto index = static_cast<std::size_t>(partition);
  const bool known = index < placement_.owners.size() && !placement_.owners[index].empty();
  return known ? membership_.find(placement_.owners[index]) : nullptr;
}

void NodeController::refresh_placement() {
  const std::uint64_t revision = configuration_.current().revision;
  const bool current = placement_.membership_version == membership_.version() &&
                       placement_.revision == revision && placement_.draining == draining_;
  if (current) {
    return;
  }
  placement_.membership_version = membership_.version();
  placement_.revision = revision;
  placement_.draining = draining_;
  std::vector<const Member*> eligible = membership_.eligible_owners();
  if (draining_) {
    std::erase(eligible, &membership_.self());
  }
  placement_.owners.clear();
  for (int partition = 0; revision > 0 && partition < configuration_.config()->partitions;
       ++partition) {
    const Member* owner = highest_score(eligible, job_stream(partition));
    placement_.owners.push_back(owner == nullptr ? std::string{} : owner->id);
  }
  const std::vector<const Member*> alive = membership_.alive();
  placement_.stewarded_engines.clear();
  for (const auto& [name, engine] : engines_.all()) {
    const Member* steward = highest_score(alive, name);
    if (steward != nullptr && steward->id == options_.self.id) {
      placement_.stewarded_engines.push_back(name);
    }
  }
}

PartitionController::OwnershipView NodeController::ownership_view(
    const PartitionController& partition, TimePoint now) const {
  PartitionController::OwnershipView view;
  const Member* preferred = preferred_owner(partition.partition());
  view.preferred = preferred != nullptr && preferred->id == options_.self.id;
  if (preferred != nullptr) {
    const std::optional<TimePoint> since = membership_.alive_since(preferred->id);
    view.preferred_settled = draining_ || (since && now - *since >= options_.knobs.handover_delay);
  }
  // With nobody to take over, a draining node still gives its partitions up.
  view.preferred_settled = view.preferred_settled || draining_;
  // The owner is a process, not a name: a node that was restarted does not know that its former
  // self owned the partition.
  const PartitionState& state = partition.state();
  const std::vector<const Member*> eligible = membership_.eligible_owners();
  view.owner_alive = std::any_of(eligible.begin(), eligible.end(), [&](const Member* member) {
    return member->id == state.owner() && member->run == state.owner_run();
  });
  return view;
}

void NodeController::update_partitions(TimePoint now, UnixSeconds wall_clock) {
  if (configuration_.current().revision == 0) {
    return;
  }
  for (int partition = 0; partition < configuration_.config()->partitions; ++partition) {
    const Member* preferred = preferred_owner(partition);
    const bool wanted = preferred != nullptr && preferred->id == options_.self.id;
    const auto found = partitions_.find(partition);
    if (found == partitions_.end() && wanted) {
      partitions_[partition] = std::make_unique<PartitionController>(
          options_.knobs, partition,
          PartitionController::Identity{options_.self.id, options_.self.incarnation}, record_ids_,
          actions_);
    } else if (found != partitions_.end() && !wanted && found->second->idle()) {
      actions_.unfollow(partition);
      partitions_.erase(found);
    }
  }
  for (auto& [number, partition] : partitions_) {
    partition->update_ownership(ownership_view(*partition, now), now, wall_clock);
  }
}

PartitionController* NodeController::acting_partition(int partition, TimePoint now) {
  const auto found = partitions_.find(partition);
  const bool acting = found != partitions_.end() && found->second->may_act(now);
  return acting ? found->second.get() : nullptr;
}

OwnerHint NodeController::owner_of(int partition) const {
  const auto followed = partitions_.find(partition);
  if (followed != partitions_.end() && followed->second->owned()) {
    return {true, {}};
  }
  // A follower knows the folded owner; others ask whoever should own the partition.
  const Member* owner = followed != partitions_.end() && followed->second->caught_up()
                            ? membership_.find(followed->second->state().owner())
                            : preferred_owner(partition);
  const bool other = owner != nullptr && owner->id != options_.self.id;
  return {false, other ? owner->api_address : std::string{}};
}

std::optional<Error> NodeController::accept_job(JobSpec job, TimePoint now,
                                                RecordConfirmation confirmation) {
  const int partition = partition_of_job(job.id, configuration_.config()->partitions);
  PartitionController* owner = acting_partition(partition, now);
  if (owner == nullptr) {
    return Error{ResultCode::kNotOwner,
                 "no node can accept jobs of this partition now",
                 {},
                 RunState::kNotRun,
                 std::chrono::seconds(1)};
  }
  owner->accept_job(std::move(job), std::move(confirmation));
  return std::nullopt;
}

std::optional<Error> NodeController::cancel_job(const std::string& job, TimePoint now,
                                                UnixSeconds wall_clock,
                                                RecordConfirmation confirmation) {
  const int partition = partition_of_job(job, configuration_.config()->partitions);
  PartitionController* owner = acting_partition(partition, now);
  if (owner == nullptr) {
    return Error{ResultCode::kNotOwner,
                 "no node can cancel jobs of this partition now",
                 {},
                 RunState::kNotRun,
                 std::chrono::seconds(1)};
  }
  owner->cancel_job(job, wall_clock, std::move(confirmation));
  return std::nullopt;
}

std::optional<Error> NodeController::record_online_attempt(const AttemptTicket& ticket,
                                                           TimePoint now,
                                                           RecordConfirmation confirmation) {
  PartitionController* owner =
      acting_partition(partition_of(ticket.key, configuration_.config()->partitions), now);
  if (owner == nullptr) {
    return Error{ResultCode::kNotOwner,
                 "no node can record the attempt now",
                 {},
                 RunState::kNotRun,
                 std::chrono::seconds(1)};
  }
  owner->record_online_attempt(ticket, std::move(confirmation));
  return std::nullopt;
}

bool NodeController::withdraw_online_attempt(const AttemptTicket& ticket, TimePoint now) {
  PartitionController* owner =
      acting_partition(partition_of(ticket.key, configuration_.config()->partitions), now);
  if (owner == nullptr) {
    return false;
  }
  owner->withdraw_online_attempt(ticket);
  return true;
}

const JobState* NodeController::find_job(const std::string& job) const {
  const auto found = partitions_.find(partition_of_job(job, configuration_.config()->partitions));
  const bool current = found != partitions_.end() && found->second->caught_up();
  return current ? found->second->state().find_job(job) : nullptr;
}

std::vector<const JobState*> NodeController::jobs_of(const std::string& tenant) const {
  std::vector<const JobState*> jobs;
  for (const auto& [number, partition] : partitions_) {
    if (!partition->owned()) {
      continue;
    }
    for (const auto& [id, job] : partition->state().jobs()) {
      if (tenant.empty() || job.spec.tenant == tenant) {
        jobs.push_back(&job);
      }
    }
  }
  return jobs;
}

void NodeController::poll_engines(TimePoint now) {
  if (now < next_load_poll_) {
    return;
  }
  next_load_poll_ = now + options_.knobs.load_poll_interval;
  for (const std::string& name : placement_.stewarded_engines) {
    if (const EngineView* engine = engines_.find(name)) {
      actions_.poll_load(name, engine->config.address);
    }
  }
}

void NodeController::send_digests(TimePoint now) {
  const std::size_t engines = engines_.all().size();
  digest_relay_.tick(engines, now);
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + digest_relay_.interval(engines);
  std::vector<EngineDigest> digests;
  for (const std::string& name : placement_.stewarded_engines) {
    const EngineView* engine = engines_.find(name);
    if (engine != nullptr && engine->reported) {
      digests.push_back({engine_key(name), engine->load});
    }
  }
  digest_relay_.publish(digests);
}

std::vector<BatchCandidate> NodeController::batch_candidates(TimePoint now,
                                                             UnixSeconds wall_clock) {
  std::vector<BatchCandidate> candidates;
  for (const auto& [number, partition] : partitions_) {
    if (!partition->may_send(now)) {
      continue;
    }
    for (const std::string& id : partition->sendable_jobs()) {
      if (!partition->has_ready_item(id, now)) {
        continue;
      }
      const JobState& job = partition->state().jobs().at(id);
      const double left = static_cast<double>(job.spec.items - job.completed);
      const auto until_deadline = static_cast<double>(job.spec.deadline - wall_clock);
      candidates.push_back({number, id, job.spec.tenant,
                            engines_.config().tenant_weight(job.spec.tenant), job.spec.priority,
                            until_deadline - left * kExpectedItemSeconds});
    }
  }
  return candidates;
}

void NodeController::dispatch_batch(TimePoint now, UnixSeconds wall_clock) {
  std::vector<BatchCandidate> candidates = batch_candidates(now, wall_clock);
  membership_.set_pending_batch_items(
      static_cast<std::uint32_t>(candidates.size() + static_cast<std::size_t>(batch_in_flight_)));
  if (held(now)) {
    return;
  }
  while (batch_in_flight_ < options_.maximum_batch_in_flight && !candidates.empty()) {
    if (!send_one_item(candidates, now)) {
      return;
    }
    std::erase_if(candidates, [&](const BatchCandidate& candidate) {
      return !partitions_.at(candidate.partition)->has_ready_item(candidate.job, now);
    });
  }
}

bool NodeController::send_one_item(const std::vector<BatchCandidate>& candidates, TimePoint now) {
  std::vector<BatchCandidate> servable;
  for (const BatchCandidate& candidate : candidates) {
    const JobSpec& job = partitions_.at(candidate.partition)->state().find_job(candidate.job)->spec;
    if (engine_for_batch(job, now) != nullptr) {
      servable.push_back(candidate);
    }
  }
  const BatchCandidate* chosen = batch_scheduler_.choose(servable);
  if (chosen == nullptr) {
    return false;
  }
  PartitionController& partition = *partitions_.at(chosen->partition);
  const EngineView* engine = engine_for_batch(partition.state().find_job(chosen->job)->spec, now);
  std::optional<ItemDispatch> item = partition.take_item(chosen->job, now);
  if (!item) {
    return true;  // Its attempt is being recorded first.
  }
  item->engine = engine->config.name;
  item->engine_address = engine->config.address;
  batch_scheduler_.charge(*chosen);
  engines_.started(item->engine, WorkClass::kBatch);
  ++batch_in_flight_;
  actions_.dispatch_item(*item);
  return true;
}

const Selector& NodeController::selector_of(const JobSpec& job) {
  const auto known = job_selectors_.find(job.selector);
  if (known != job_selectors_.end()) {
    return known->second;
  }
  Selector selector;
  if (!job.selector.empty()) {
    // It was checked when the job was accepted.
    error_of([&]() -> Result<void> {
      BOOST_LEAF_AUTO(object, parse_json_object(job.selector));
      Problems problems;
      selector = Selector::read(ObjectReader(object, "", problems));
      return {};
    });
  }
  return job_selectors_.emplace(job.selector, std::move(selector)).first->second;
}

const EngineView* NodeController::engine_for_batch(const JobSpec& job, TimePoint now) {
  const ServiceConfig* service = engines_.config().find_service(job.service);
  if (service == nullptr) {
    return nullptr;
  }
  const int nodes = membership_.nodes_with_pending_batch();
  const EngineView* best = nullptr;
  int best_room = 0;
  const Selector& selector = selector_of(job);
  for (const EngineView* engine : engines_.candidates(*service, now)) {
    if (!selector.matches(engine->config.labels)) {
      continue;
    }
    const int allowance = batch_allowance(options_.knobs, *engine, engines_.config().limits,
                                          options_.self.id, nodes, now);
    const int room = allowance - engine->batch_in_flight;
    if (room > best_room) {
      best = engine;
      best_room = room;
    }
  }
  return best;
}

void NodeController::item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock) {
  notice_time(now);
  batch_in_flight_ = std::max(0, batch_in_flight_ - 1);
  const bool failed = outcome.end == ItemEnd::kNotSent || outcome.end == ItemEnd::kUnknown;
  engines_.ended(outcome.engine, WorkClass::kBatch,
                 failed ? EngineHealthSignal::kFailed : EngineHealthSignal::kAnswered, now);
  const auto found = partitions_.find(outcome.partition);
  if (found != partitions_.end()) {
    found->second->item_ended(outcome, now, wall_clock);
  }
  dispatch_batch(now, wall_clock);
}

void NodeController::stop_cancelled_items() {
  for (const auto& [number, partition] : partitions_) {
    for (const auto& [job, item] : partition->take_cancelled_items()) {
      actions_.cancel_item(number, job, item);
    }
  }
}

int NodeController::owned_partitions() const {
  return static_cast<int>(std::count_if(partitions_.begin(), partitions_.end(),
                                        [](const auto& entry) { return entry.second->owned(); }));
}

std::vector<PartitionStatus> NodeController::partition_statuses() const {
  std::vector<PartitionStatus> statuses;
  for (const auto& [number, partition] : partitions_) {
    const Member* preferred = preferred_owner(number);
    statuses.push_back({number, partition->state().epoch(), partition->state().owner(),
                        preferred == nullptr ? std::string{} : preferred->id, partition->owned(),
                        partition->caught_up(), partition->quiescent(),
                        partition->state().next_offset()});
  }
  return statuses;
}

void NodeController::begin_drain() {
  draining_ = true;
}

bool NodeController::drained() const {
  return draining_ && online_.in_flight() == 0 && online_.waiting() == 0 && batch_in_flight_ == 0 &&
         partitions_.empty();
}

}  // namespace dockpoint
