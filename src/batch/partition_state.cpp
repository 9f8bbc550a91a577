#include "dockpoint/batch/partition_state.hpp"

#include <algorithm>
#include <charconv>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

constexpr std::string_view kJobIdPrefix = "batch_";

bool succeeded(const ItemCompleted& completed) {
  return completed.status >= 200 && completed.status < 300;
}

/// Serialized form of the state. New fields may only be appended.
struct Snapshot {
  std::uint64_t epoch = 0;
  std::string owner;
  std::uint64_t owner_run = 0;
  Offset next_offset = 0;
  std::map<std::string, JobState> jobs;
  std::map<std::string, std::string> online_attempts;
  DOCKPOINT_FIELDS(epoch, owner, owner_run, next_offset, jobs, online_attempts)
};

}  // namespace

JobStatus JobState::status() const {
  if (completed >= spec.items) {
    return JobStatus::kCompleted;
  }
  return cancelled ? JobStatus::kCancelled : JobStatus::kInProgress;
}

JobState JobState::without_results() const {
  JobState copy;
  copy.spec = spec;
  copy.cancelled = cancelled;
  copy.ended_at = ended_at;
  copy.completed = completed;
  copy.failed = failed;
  copy.first_result = first_result;
  copy.last_result = last_result;
  return copy;
}

RecordVerdict PartitionState::apply(Offset offset, const PartitionRecord& record) {
  next_offset_ = offset + 1;
  return std::visit([&](const auto& body) { return apply_body(offset, body); }, record.body);
}

const JobState* PartitionState::find_job(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

RecordVerdict PartitionState::apply_body(Offset, const OwnershipClaim& claim) {
  const bool replaces_current = claim.replaces == epoch_ && claim.epoch == epoch_ + 1;
  if (mechanisms_.ownership_epochs && !replaces_current) {
    return RecordVerdict::kStaleEpoch;
  }
  epoch_ = claim.epoch;
  owner_ = claim.owner;
  owner_run_ = claim.run;
  return RecordVerdict::kApplied;
}

RecordVerdict PartitionState::apply_body(Offset, const OwnershipRelease& release) {
  if (stale(release.epoch)) {
    return RecordVerdict::kStaleEpoch;
  }
  owner_.clear();
  owner_run_ = 0;
  return RecordVerdict::kApplied;
}

RecordVerdict PartitionState::apply_body(Offset, const JobAccepted& accepted) {
  if (stale(accepted.epoch)) {
    return RecordVerdict::kStaleEpoch;
  }
  const auto [entry, inserted] = jobs_.try_emplace(accepted.job.id);
  if (!inserted) {
    return RecordVerdict::kRepeated;
  }
  JobState& job = entry->second;
  job.spec = accepted.job;
  job.results.assign(job.spec.items, 0);
  if (job.in_progress()) {
    open_jobs_.insert(job.spec.id);
  } else {
    job.ended_at = job.spec.created_at;
  }
  return RecordVerdict::kApplied;
}

RecordVerdict PartitionState::apply_body(Offset, const JobCancelled& cancelled) {
  const auto found = jobs_.find(cancelled.job);
  if (found == jobs_.end()) {
    return RecordVerdict::kUnknownJob;
  }
  JobState& job = found->second;
  if (!job.in_progress()) {
    return RecordVerdict::kRepeated;
  }
  job.cancelled = true;
  job.ended_at = cancelled.at;
  open_jobs_.erase(cancelled.job);
  return RecordVerdict::kApplied;
}

RecordVerdict PartitionState::apply_body(Offset, const ItemAttempt& attempt) {
  if (stale(attempt.epoch)) {
    return RecordVerdict::kStaleEpoch;
  }
  const auto found = jobs_.find(attempt.job);
  if (found == jobs_.end()) {
    return RecordVerdict::kUnknownJob;
  }
  JobState& job = found->second;
  if (!job.in_progress() || attempt.item >= job.spec.items || job.has_result(attempt.item)) {
    return RecordVerdict::kRepeated;
  }
  const bool first = job.attempts.emplace(attempt.item, attempt.epoch).second;
  return first ? RecordVerdict::kApplied : RecordVerdict::kRepeated;
}

RecordVerdict PartitionState::apply_body(Offset offset, const ItemCompleted& completed) {
  const auto found = jobs_.find(completed.job);
  if (found == jobs_.end() || completed.item >= found->second.spec.items) {
    return RecordVerdict::kUnknownJob;
  }
  JobState& job = found->second;
  if (job.cancelled) {
    return RecordVerdict::kRepeated;
  }
  if (job.has_result(completed.item)) {
    if (!mechanisms_.first_result_wins) {
      job.results[completed.item] = offset + 1;
      job.last_result = std::max(job.last_result, offset);
    }
    return RecordVerdict::kRepeated;
  }
  job.results[completed.item] = offset + 1;
  job.attempts.erase(completed.item);
  job.first_result = job.completed == 0 ? offset : std::min(job.first_result, offset);
  job.last_result = std::max(job.last_result, offset);
  ++job.completed;
  job.failed += succeeded(completed) ? 0 : 1;
  if (!job.in_progress()) {
    job.ended_at = completed.at;
    open_jobs_.erase(completed.job);
  }
  return RecordVerdict::kApplied;
}

RecordVerdict PartitionState::apply_body(Offset, const OnlineAttempt& attempt) {
  if (stale(attempt.epoch)) {
    return RecordVerdict::kStaleEpoch;
  }
  return online_attempts_.emplace(attempt.key, attempt.token).second ? RecordVerdict::kApplied
                                                                     : RecordVerdict::kRepeated;
}

RecordVerdict PartitionState::apply_body(Offset, const OnlineAttemptWithdrawn& withdrawn) {
  const auto found = online_attempts_.find(withdrawn.key);
  if (found == online_attempts_.end() || found->second != withdrawn.token) {
    return RecordVerdict::kRepeated;
  }
  online_attempts_.erase(found);
  return RecordVerdict::kApplied;
}

std::string PartitionState::snapshot() const {
  return pack(Snapshot{epoch_, owner_, owner_run_, next_offset_, jobs_, online_attempts_});
}

bool PartitionState::stale(Epoch epoch) const {
  return mechanisms_.ownership_epochs && epoch != epoch_;
}

std::unique_ptr<PartitionState> PartitionState::restore(std::string_view bytes,
                                                        const Mechanisms& mechanisms) {
  std::optional<Snapshot> snapshot = unpack<Snapshot>(bytes);
  if (!snapshot) {
    return nullptr;
  }
  auto state = std::make_unique<PartitionState>(mechanisms);
  state->epoch_ = snapshot->epoch;
  state->owner_ = std::move(snapshot->owner);
  state->owner_run_ = snapshot->owner_run;
  state->next_offset_ = snapshot->next_offset;
  state->jobs_ = std::move(snapshot->jobs);
  state->online_attempts_ = std::move(snapshot->online_attempts);
  for (const auto& [id, job] : state->jobs_) {
    if (job.in_progress()) {
      state->open_jobs_.insert(id);
    }
  }
  return state;
}

std::string job_stream(int partition) {
  return "jobs-" + std::to_string(partition);
}

std::string checkpoint_stream(int partition) {
  return "checkpoints-" + std::to_string(partition);
}

int partition_of(std::string_view key, int partitions) {
  return static_cast<int>(hash64(key) % static_cast<std::uint64_t>(partitions));
}

std::string make_job_id(int partition, std::string_view unique) {
  return std::string(kJobIdPrefix) + std::to_string(partition) + "_" + std::string(unique);
}

int partition_of_job(const std::string& job_id, int partitions) {
  if (!job_id.starts_with(kJobIdPrefix)) {
    return -1;
  }
  int partition = -1;
  const char* begin = job_id.data() + kJobIdPrefix.size();
  const char* end = job_id.data() + job_id.size();
  const auto [stop, error] = std::from_chars(begin, end, partition);
  const bool valid = error == std::errc{} && stop != end && *stop == '_' && partition < partitions;
  return valid ? partition : -1;
}

}  // namespace dockpoint
