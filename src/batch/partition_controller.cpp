#include "dockpoint/batch/partition_controller.hpp"

#include <algorithm>

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
ItemOutcome make_outcome(const ItemDispatch& item, ItemEnd end) {
  ItemOutcome outcome;
  outcome.partition = item.partition;
  outcome.job = item.job;
  outcome.item = item.item;
  outcome.engine = item.engine;
  outcome.attempt = item.attempt;
  outcome.end = end;
  return outcome;
}

PartitionController::PartitionController(const Knobs& knobs, int partition, Identity identity,
                                         RecordIdSource& record_ids, PartitionActions& actions)
    : knobs_(knobs),
      partition_(partition),
      identity_(std::move(identity)),
      record_ids_(record_ids),
      actions_(actions),
      state_(std::make_unique<PartitionState>(knobs.mechanisms)) {
  actions_.follow(partition_);
}

void PartitionController::checkpoint_loaded(const std::optional<std::string>& snapshot) {
  if (loaded_) {
    return;
  }
  loaded_ = true;
  if (!snapshot) {
    return;
  }
  if (std::unique_ptr<PartitionState> restored =
          PartitionState::restore(*snapshot, knobs_.mechanisms)) {
    state_ = std::move(restored);
    last_checkpoint_ = state_->next_offset();
  }
}

void PartitionController::records_read(Offset first, const std::vector<std::string>& records,
                                       bool at_tail, TimePoint read_started, TimePoint now) {
  for (std::size_t index = 0; index < records.size(); ++index) {
    const Offset offset = first + index;
    if (offset != state_->next_offset()) {
      continue;  // Already applied, or behind a gap that the next read fills.
    }
    const std::optional<PartitionRecord> record = decode_partition_record(records[index]);
    if (!record) {
      state_->skip(offset);
      continue;
    }
    const bool owned_before = owned();
    const RecordVerdict verdict = state_->apply(offset, *record);
    if (owned() && !owned_before) {
      owned_since_ = now;
      releasing_ = false;
      queues_.clear();
      confirmed_attempts_.clear();
    }
    const auto waiting = unconfirmed_.find(record->id);
    if (waiting != unconfirmed_.end()) {
      const RecordConfirmation confirmation = std::move(waiting->second);
      unconfirmed_.erase(waiting);
      if (confirmation) {
        confirmation(verdict);
      }
    }
  }
  at_tail_ = at_tail && first + records.size() >= state_->next_offset();
  if (at_tail_) {
    tail_read_ = read_started;
  }
  maybe_checkpoint();
}

bool PartitionController::owned() const {
  return state_->owner() == identity_.node && state_->owner_run() == identity_.run;
}

bool PartitionController::may_send(TimePoint now) const {
  const bool fresh = tail_read_ && now - *tail_read_ < knobs_.owner_lease;
  return owned() && (fresh || !knobs_.mechanisms.owner_lease);
}

void PartitionController::update_ownership(const OwnershipView& view, TimePoint now,
                                           UnixSeconds wall_clock) {
  if (owned()) {
    ownerless_since_.reset();
    releasing_ = !view.preferred && (releasing_ || view.preferred_settled);
    if (releasing_ && quiescent()) {
      claim_pending_ = true;
      append(OwnershipRelease{state_->epoch()}, [this](RecordVerdict) { claim_pending_ = false; });
      return;
    }
    if (may_act(now)) {
      settle_inherited_attempts(now, wall_clock);
    }
    return;
  }
  // A former process of this node is certainly dead; for any other owner membership decides.
  const bool own_former_run = state_->owner() == identity_.node;
  const bool ownerless = state_->owner().empty() || own_former_run || !view.owner_alive;
  if (!at_tail_ || !view.preferred || !ownerless) {
    ownerless_since_.reset();
    return;
  }
  if (!ownerless_since_) {
    ownerless_since_ = now;
  }
  const bool released = state_->owner().empty() && state_->epoch() > 0;
  const bool waited = now - *ownerless_since_ >= knobs_.claim_delay;
  if (!claim_pending_ && (own_former_run || released || waited)) {
    claim();
  }
}

void PartitionController::claim() {
  claim_pending_ = true;
  releasing_ = false;
  const Epoch current = state_->epoch();
  append(OwnershipClaim{current + 1, current, identity_.node, identity_.run},
         [this](RecordVerdict) { claim_pending_ = false; });
}

bool PartitionController::quiescent() const {
  const bool none_in_flight = std::all_of(queues_.begin(), queues_.end(), [](const auto& queue) {
    return queue.second.in_flight().empty();
  });
  return none_in_flight && unconfirmed_.empty();
}

void PartitionController::accept_job(JobSpec job, RecordConfirmation confirmation) {
  append(JobAccepted{state_->epoch(), std::move(job)}, std::move(confirmation));
}

void PartitionController::record_online_attempt(const AttemptTicket& ticket,
                                                RecordConfirmation confirmation) {
  append(OnlineAttempt{state_->epoch(), ticket.key, ticket.token}, std::move(confirmation));
}

void PartitionController::withdraw_online_attempt(const AttemptTicket& ticket) {
  append(OnlineAttemptWithdrawn{ticket.key, ticket.token});
}

void PartitionController::cancel_job(const std::string& job, UnixSeconds at,
                                     RecordConfirmation confirmation) {
  append(JobCancelled{job, at}, std::move(confirmation));
}

bool PartitionController::wants_items(const JobState& job) const {
  return job.in_progress() || (job.cancelled && !knobs_.mechanisms.cancel_stops);
}

std::vector<std::string> PartitionController::sendable_jobs() const {
  std::vector<std::string> jobs(state_->open_jobs().begin(), state_->open_jobs().end());
  if (!knobs_.mechanisms.cancel_stops) {
    for (const auto& [id, job] : state_->jobs()) {
      if (job.cancelled) {
        jobs.push_back(id);
      }
    }
  }
  return jobs;
}

bool PartitionController::has_ready_item(const std::string& job, TimePoint now) {
  const JobState* state = state_->find_job(job);
  if (state == nullptr || !wants_items(*state)) {
    return false;
  }
  const auto confirmed = confirmed_attempts_.find(job);
  if (confirmed != confirmed_attempts_.end() && !confirmed->second.empty()) {
    return true;
  }
  if (releasing_) {
    return false;
  }
  ItemQueue& queue = queue_of(job);
  if (!state->spec.repeatable && queue.in_flight().size() >= knobs_.attempts_ahead) {
    return false;
  }
  return queue.has_ready(*state, now);
}

std::optional<ItemDispatch> PartitionController::take_item(const std::string& job, TimePoint now) {
  const JobState* state = state_->find_job(job);
  if (state == nullptr || !wants_items(*state) || !may_send(now)) {
    return std::nullopt;
  }
  ItemQueue& queue = queue_of(job);
  std::vector<ItemIndex>& confirmed = confirmed_attempts_[job];
  if (!confirmed.empty()) {
    const ItemIndex item = confirmed.back();
    confirmed.pop_back();
    return make_dispatch(*state, item, queue.attempts(item) + 1);
  }
  if (releasing_) {
    return std::nullopt;
  }
  if (state->spec.repeatable || !knobs_.mechanisms.attempt_records) {
    const std::optional<ItemIndex> item = queue.take(*state, now);
    if (!item) {
      return std::nullopt;
    }
    return make_dispatch(*state, *item, queue.attempts(*item) + 1);
  }
  const std::optional<ItemIndex> item = queue.take(*state, now);
  if (!item) {
    return std::nullopt;
  }
  // Requeued by this owner because it certainly did not run: the recorded attempt is still valid.
  const auto attempt = state->attempts.find(*item);
  if (attempt != state->attempts.end() && attempt->second == state_->epoch()) {
    return make_dispatch(*state, *item, queue.attempts(*item) + 1);
  }
  start_attempt_record(job, *item);
  return std::nullopt;
}

void PartitionController::start_attempt_record(const std::string& job, ItemIndex item) {
  const Epoch epoch = state_->epoch();
  append(ItemAttempt{epoch, job, item}, [this, job, item, epoch](RecordVerdict verdict) {
    const bool current = owned() && state_->epoch() == epoch;
    if (verdict == RecordVerdict::kApplied && current) {
      confirmed_attempts_[job].push_back(item);
    } else {
      queue_of(job).finish(item);
    }
  });
}

void PartitionController::item_ended(const ItemOutcome& outcome, TimePoint now,
                                     UnixSeconds wall_clock) {
  const JobState* job = state_->find_job(outcome.job);
  if (job == nullptr) {
    return;
  }
  ItemQueue& queue = queue_of(outcome.job);
  const bool wanted = job->in_progress() && !job->has_result(outcome.item);
  if (!wanted) {
    queue.finish(outcome.item);  // The fold would ignore the result.
    return;
  }
  const bool may_repeat = owned() && outcome.attempt < knobs_.maximum_item_attempts;
  switch (outcome.end) {
    case ItemEnd::kAnswered:
      record_result(outcome, ResultCode::kOk, wall_clock);
      return;
    case ItemEnd::kInvalid:
      record_result(outcome, ResultCode::kInvalidField, wall_clock);
      return;
    case ItemEnd::kYielded:
      if (job->spec.repeatable && owned()) {
        queue.requeue(outcome.item);
        return;
      }
      break;
    case ItemEnd::kNotSent:
    case ItemEnd::kRefused:
      // The item certainly did not run, so this owner may resend it under the same attempt record.
      if (may_repeat) {
        queue.retry(outcome.item, outcome.attempt, now);
        return;
      }
      break;
    case ItemEnd::kUnknown:
      if (may_repeat && job->spec.repeatable) {
        queue.retry(outcome.item, outcome.attempt, now);
        return;
      }
      break;
  }
  if (!owned()) {
    queue.finish(outcome.item);  // The new owner decides.
    return;
  }
  const bool may_have_run = outcome.end == ItemEnd::kUnknown || outcome.end == ItemEnd::kYielded;
  record_result(outcome,
                may_have_run ? ResultCode::kOutcomeUnknown : ResultCode::kEngineUnreachable,
                wall_clock);
}

void PartitionController::record_result(const ItemOutcome& outcome, ResultCode code,
                                        UnixSeconds wall_clock) {
  ItemCompleted completed;
  completed.job = outcome.job;
  completed.item = outcome.item;
  completed.custom_id = outcome.custom_id;
  completed.status = outcome.status;
  completed.result_code = static_cast<int>(code);
  completed.body =
      outcome.body.empty() ? error_detail_json(code, "the item did not complete") : outcome.body;
  completed.at = wall_clock;
  const std::string job = outcome.job;
  const ItemIndex item = outcome.item;
  append(std::move(completed), [this, job, item](RecordVerdict) { queue_of(job).finish(item); });
}

std::vector<std::pair<std::string, ItemIndex>> PartitionController::take_cancelled_items() {
  std::vector<std::pair<std::string, ItemIndex>> stopped;
  for (auto iterator = queues_.begin(); iterator != queues_.end();) {
    const JobState* job = state_->find_job(iterator->first);
    const bool over = job == nullptr || !wants_items(*job);
    if (over && job != nullptr && job->cancelled) {
      for (const ItemIndex item : iterator->second.in_flight()) {
        stopped.emplace_back(iterator->first, item);
      }
    }
    if (over) {
      confirmed_attempts_.erase(iterator->first);
    }
    iterator = over ? queues_.erase(iterator) : std::next(iterator);
  }
  return stopped;
}

void PartitionController::settle_inherited_attempts(TimePoint now, UnixSeconds wall_clock) {
  if (!owned_since_ || now - *owned_since_ < knobs_.attempt_settle_time) {
    return;
  }
  for (const std::string& id : state_->open_jobs()) {
    const JobState& job = state_->jobs().at(id);
    ItemQueue& queue = queue_of(id);
    for (const auto& [item, epoch] : job.attempts) {
      if (epoch >= state_->epoch() || queue.is_in_flight(item)) {
        continue;
      }
      queue.mark_in_flight(item);
      ItemOutcome outcome;
      outcome.job = id;
      outcome.item = item;
      record_result(outcome, ResultCode::kOutcomeUnknown, wall_clock);
    }
  }
}

void PartitionController::append(RecordBody body, RecordConfirmation confirmation) {
  PartitionRecord record{record_ids_.next(), std::move(body)};
  unconfirmed_.emplace(record.id, std::move(confirmation));
  actions_.append(partition_, record);
}

void PartitionController::maybe_checkpoint() {
  const bool due = state_->next_offset() - last_checkpoint_ >= knobs_.checkpoint_records;
  if (!owned() || !at_tail_ || !due) {
    return;
  }
  last_checkpoint_ = state_->next_offset();
  actions_.write_checkpoint(partition_, last_checkpoint_, state_->snapshot());
}

ItemQueue& PartitionController::queue_of(const std::string& job) {
  return queues_.try_emplace(job, knobs_).first->second;
}

ItemDispatch PartitionController::make_dispatch(const JobState& job, ItemIndex item,
                                                int attempt) const {
  ItemDispatch dispatch;
  dispatch.partition = partition_;
  dispatch.job = job.spec.id;
  dispatch.input_file_id = job.spec.input_file_id;
  dispatch.tenant = job.spec.tenant;
  dispatch.item = item;
  dispatch.epoch = state_->epoch();
  dispatch.attempt = attempt;
  dispatch.endpoint = job.spec.endpoint;
  return dispatch;
}

}  // namespace dockpoint
