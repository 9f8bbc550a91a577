#include "dockpoint/batch/partition_owner.hpp"

#include <algorithm>
#include <set>

namespace dockpoint {
namespace {

/// All owners share one producer name, so that a higher epoch fences the owners before it.
constexpr const char* kProducer = "owner";

/// @return a record that changes nothing, for an append that has nothing else to write.
KeyedRecord marker_record() {
  return {"marker", {}, 0};
}

/// @return a sequence number above all that this process has used in the epoch so far, in case it
/// owned the partition in this epoch before: one for each microsecond.
std::uint64_t first_sequence(TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
}

}  // namespace

PartitionOwner::PartitionOwner(const Knobs& knobs, PartitionedLog& log, const BatchTopics& topics,
                               int partition, std::uint64_t epoch, std::uint64_t seed,
                               PartitionOwnerObserver& observer)
    : knobs_(knobs),
      log_(log),
      topics_(topics),
      partition_(partition),
      epoch_(epoch),
      random_(seed),
      observer_(observer),
      jobs_watch_(knobs, log, {topics.jobs, partition}, seed, *this) {}

PartitionOwner::~PartitionOwner() {
  life_->alive = false;
}

void PartitionOwner::tick(TimePoint now) {
  now_ = now;
  if (step_ == Step::kFenced) {
    return;
  }
  if (step_ == Step::kLoadingJobs || step_ == Step::kActive) {
    jobs_watch_.tick(now);
  }
  if (calling_ || now < retry_at_) {
    return;
  }
  if (step_ == Step::kFencing) {
    raise_epoch();
  } else if (step_ == Step::kLoadingResults) {
    load_results();
  } else {
    write_queue();
  }
}

void PartitionOwner::append(const std::vector<KeyedRecord>& records,
                            void (PartitionOwner::*handle)(const AppendOutcome&)) {
  if (calls_++ == 0) {
    first_call_ = now_;
  }
  calling_ = true;
  log_.append({topics_.results, partition_}, records,
              ProducerPosition{kProducer, epoch_, sequence_},
              [this, life = life_, handle](const AppendOutcome& outcome) {
                if (life->alive) {
                  calling_ = false;
                  (this->*handle)(outcome);
                }
              });
}

void PartitionOwner::report_settled(std::size_t records, LogStatus status) {
  if (calls_ > 1) {
    observer_.on_append_settled(partition_,
                                {sequence_, records, calls_, now_ - first_call_, status});
  }
}

void PartitionOwner::raise_epoch() {
  if (sequence_ == 0) {
    sequence_ = first_sequence(now_);
  }
  append({marker_record()}, &PartitionOwner::handle_raise);
}

void PartitionOwner::handle_raise(const AppendOutcome& outcome) {
  switch (outcome.status) {
    case LogStatus::kFenced:
      end(OwnershipEnd::kFenced);
      return;
    case LogStatus::kOk:
      report_settled(1, outcome.status);
      failures_ = 0;
      calls_ = 0;
      ++sequence_;
      step_ = Step::kLoadingResults;
      load_results();
      return;
    case LogStatus::kOutOfSequence:
      // This node owned the partition in this epoch before. Its calls with the expected number can
      // no longer be applied once the marker has taken it.
      sequence_ = outcome.due_sequence;
      retry_later();
      return;
    default:
      retry_later();
  }
}

void PartitionOwner::load_results() {
  calling_ = true;
  log_.newest({topics_.results, partition_}, last_page_key_,
              [this, life = life_](NewestOutcome outcome) {
                if (!life->alive) {
                  return;
                }
                calling_ = false;
                if (outcome.status != LogStatus::kOk) {
                  retry_later();
                  return;
                }
                failures_ = 0;
                if (!outcome.records.empty()) {
                  last_page_key_ = outcome.records.back().key;
                }
                std::move(outcome.records.begin(), outcome.records.end(),
                          std::back_inserter(loaded_results_));
                if (outcome.more) {
                  load_results();
                  return;
                }
                ledger_.load_results(std::move(loaded_results_));
                loaded_results_.clear();
                step_ = Step::kLoadingJobs;
                jobs_watch_.tick(now_);
              });
}

void PartitionOwner::on_snapshot(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    apply_job_record(record);
  }
}

void PartitionOwner::on_record(const KeyedRecord& record) {
  apply_job_record(record);
}

void PartitionOwner::apply_job_record(const KeyedRecord& record) {
  const auto job = ledger_.apply_job_record(record);
  if (!job || step_ != Step::kActive) {
    return;
  }
  if (ledger_.find(*job)->ended) {
    observer_.on_job_ended(partition_, *job);
  } else {
    observer_.on_job(partition_, *job);
  }
}

void PartitionOwner::on_caught_up() {
  if (step_ == Step::kLoadingJobs) {
    step_ = Step::kActive;
    observer_.on_partition_active(partition_);
  }
}

void PartitionOwner::on_reachable(bool /*reachable*/, Duration /*silence*/) {}

void PartitionOwner::verify() {
  if (step_ == Step::kActive) {
    unverified_ = true;
  }
}

std::uint32_t& PartitionOwner::next_step(const std::string& job, std::uint32_t item) {
  const auto [entry, added] = checkpoint_steps_.try_emplace({job, item}, 0);
  const JobLedger::LoadedCheckpoint* loaded = added ? ledger_.checkpoint(job, item) : nullptr;
  if (loaded != nullptr) {
    entry->second = loaded->steps;
  }
  return entry->second;
}

void PartitionOwner::write_result(const std::string& job, ItemResult result) {
  PendingWrite write{job, result_records(job, result, log_.limits().record_bytes), {}};
  const std::uint32_t steps = next_step(job, result.item);
  for (std::uint32_t number = 0; number < steps; ++number) {
    write.records.push_back(checkpoint_removal(job, result.item, number));
  }
  checkpoint_steps_.erase({job, result.item});
  write.result = std::move(result);
  queue_.push_back(std::move(write));
  if (!calling_ && now_ >= retry_at_ && step_ == Step::kActive) {
    write_queue();
  }
}

bool PartitionOwner::write_checkpoint(const std::string& job, std::uint32_t item,
                                      const ItemCheckpoint& added, bool restart) {
  if (added.text.size() > log_.limits().call_bytes / 2) {
    return false;
  }
  const std::size_t piece_bytes = log_.limits().record_bytes / 2;
  PendingWrite write{job, {}, std::nullopt};
  std::size_t position = 0;
  do {
    const std::string piece = added.text.substr(position, piece_bytes);
    const bool first = position == 0;
    position += piece.size();
    const bool last = position == added.text.size();
    // The event is that of the whole text, so it comes with the last piece.
    const CheckpointStep step{
        next_step(job, item)++, restart && first, piece, last ? added.last_event : std::nullopt,
        added.failures,         added.origin};
    write.records.push_back(checkpoint_record(job, item, step));
  } while (position < added.text.size());
  queue_.push_back(std::move(write));
  return true;
}

std::size_t PartitionOwner::largest_text() const {
  // The rest is for keys, framing and the removal of the item's checkpoint steps.
  constexpr double kTextShare = 0.875;
  return static_cast<std::size_t>(kTextShare * static_cast<double>(log_.limits().call_bytes));
}

bool PartitionOwner::has_pending_result(const std::string& job, std::uint32_t item) const {
  const auto matches = [&](const PendingWrite& pending) {
    return pending.result && pending.result->item == item && pending.job == job;
  };
  return std::any_of(queue_.begin(), queue_.end(), matches) ||
         std::any_of(writing_.begin(), writing_.end(), matches);
}

void PartitionOwner::fill_append() {
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    std::size_t size = 0;
    for (const KeyedRecord& record : queue_.front().records) {
      constexpr std::size_t kFramingBytes = 8;
      size += record.key.size() + record.value.size() + kFramingBytes;
    }
    if (!writing_.empty() && bytes + size > log_.limits().call_bytes / 2) {
      return;
    }
    bytes += size;
    std::vector<KeyedRecord>& records = queue_.front().records;
    std::move(records.begin(), records.end(), std::back_inserter(write_records_));
    writing_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
}

void PartitionOwner::write_queue() {
  if (calls_ == 0) {
    fill_append();
    if (write_records_.empty() && unverified_) {
      write_records_.push_back(marker_record());
    }
  }
  if (!write_records_.empty()) {
    append(write_records_, &PartitionOwner::handle_append);
  }
}

void PartitionOwner::handle_append(const AppendOutcome& outcome) {
  switch (outcome.status) {
    case LogStatus::kFenced:
      report_settled(write_records_.size(), outcome.status);
      end(OwnershipEnd::kFenced);
      return;
    case LogStatus::kOutOfSequence:
      report_settled(write_records_.size(), outcome.status);
      end(OwnershipEnd::kOutOfSequence);
      return;
    case LogStatus::kOk:
      report_settled(write_records_.size(), outcome.status);
      break;
    default:
      retry_later();
      return;
  }
  failures_ = 0;
  calls_ = 0;
  ++sequence_;
  unverified_ = false;
  write_records_.clear();
  const std::vector<PendingWrite> written = std::move(writing_);
  writing_.clear();
  const auto life = life_;
  std::set<std::string> jobs;
  for (const PendingWrite& pending : written) {
    if (pending.result) {
      ledger_.add_result(pending.job, *pending.result);
      jobs.insert(pending.job);
    }
  }
  for (const std::string& job : jobs) {
    observer_.on_results(partition_, job);
    if (!life->alive) {
      return;
    }
  }
  if (!calling_) {
    write_queue();
  }
}

void PartitionOwner::retry_later() {
  ++failures_;
  const int doublings = std::min(failures_ - 1, 4);
  const Duration limit =
      std::min(knobs_.log_retry_delay * (1 << doublings), knobs_.log_retry_delay_limit);
  std::uniform_int_distribution<std::int64_t> jitter(limit.count() / 2, limit.count());
  retry_at_ = now_ + Duration(jitter(random_));
}

void PartitionOwner::end(OwnershipEnd reason) {
  step_ = Step::kFenced;
  observer_.on_partition_fenced(partition_, reason);
}

}  // namespace dockpoint
