#include "dockpoint/node/node_controller.hpp"

#include <algorithm>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Minimum interval between requests for a peer's newer configuration.
constexpr Duration kFetchInterval = 300ms;

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
      online_(options_.knobs, engines_, router_, actions),
      batch_(options_.knobs, {options_.self.id, options_.maximum_batch_in_flight}, engines_,
             partitions_, [&actions](const ItemDispatch& item) { actions.dispatch_item(item); }),
      placement_(membership_, engines_) {
  membership_.set_candidates(options_.seeds);
}

void NodeController::detect_pause(TimePoint now) {
  const bool paused = last_event_ && now - *last_event_ > options_.knobs.pause_threshold;
  last_event_ = now;
  if (paused && options_.knobs.mechanisms.pause_hold) {
    pause_detected_at_ = now;
    dispatch_suspended_until_ = now + options_.knobs.pause_hold;
    online_.pause(dispatch_suspended_until_);
  }
}

void NodeController::submit_online(OnlineRequest request, TimePoint now) {
  detect_pause(now);
  online_.submit(std::move(request), now);
}

void NodeController::online_attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now) {
  detect_pause(now);
  online_.attempt_ended(request, end, now);
}

void NodeController::tick(TimePoint now, UnixSeconds wall_clock) {
  detect_pause(now);
  membership_.tick(now);
  placement_.refresh(configuration_.current().revision, configuration_.config()->partitions,
                     draining_);
  update_partitions(now, wall_clock);
  poll_engines(now);
  send_digests(now);
  online_.tick(now);
  stop_cancelled_items();
  dispatch_batch(now, wall_clock);
}

void NodeController::peer_message(const PeerMessage& message, TimePoint now) {
  detect_pause(now);
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
  detect_pause(now);
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
  detect_pause(now);
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
  // A list requested before the pause was detected may be stale.
  if (read_started >= pause_detected_at_) {
    dispatch_suspended_until_ = TimePoint{};
    online_.resume(now);
  }
}

void NodeController::load_polled(const std::string& engine, const EngineLoad& load, TimePoint now) {
  detect_pause(now);
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
  detect_pause(now);
  const auto found = partitions_.find(partition);
  if (found != partitions_.end()) {
    found->second->records_read(first, records, at_tail, read_started, now);
  }
}

Offset NodeController::next_offset(int partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? 0 : found->second->state().next_offset();
}

PartitionController::OwnershipView NodeController::ownership_view(
    const PartitionController& partition, TimePoint now) const {
  PartitionController::OwnershipView view;
  const Member* preferred = placement_.preferred_owner(partition.partition());
  view.preferred = preferred != nullptr && preferred->id == options_.self.id;
  if (preferred != nullptr) {
    const std::optional<TimePoint> since = membership_.alive_since(preferred->id);
    view.preferred_settled = draining_ || (since && now - *since >= options_.knobs.handover_delay);
  }
  // A draining node releases its partitions even if no node can take them over.
  view.preferred_settled = view.preferred_settled || draining_;
  // Ownership belongs to one run of a node: a restarted node does not know that its previous run
  // owned the partition.
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
    const Member* preferred = placement_.preferred_owner(partition);
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
  // A caught-up follower knows the owner from the records; otherwise assume the preferred owner.
  const Member* owner = followed != partitions_.end() && followed->second->caught_up()
                            ? membership_.find(followed->second->state().owner())
                            : placement_.preferred_owner(partition);
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
  for (const std::string& name : placement_.stewarded_engines()) {
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
  for (const std::string& name : placement_.stewarded_engines()) {
    const EngineView* engine = engines_.find(name);
    if (engine != nullptr && engine->reported) {
      digests.push_back({engine_key(name), engine->load});
    }
  }
  digest_relay_.publish(digests);
}

void NodeController::dispatch_batch(TimePoint now, UnixSeconds wall_clock) {
  membership_.set_pending_batch_items(batch_.demand(now, wall_clock));
  if (!dispatch_suspended(now)) {
    batch_.send_items(membership_.nodes_with_pending_batch(), now, wall_clock);
  }
}

void NodeController::item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock) {
  detect_pause(now);
  batch_.item_ended(outcome, now);
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
    const Member* preferred = placement_.preferred_owner(number);
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
  return draining_ && online_.in_flight() == 0 && online_.waiting() == 0 &&
         batch_.in_flight() == 0 && partitions_.empty();
}

}  // namespace dockpoint
