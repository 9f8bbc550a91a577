#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/batch/job_ledger.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/log/keyed_watch.hpp"

/// One partition of batch jobs at its owning node.
///
/// Recovery: the new owner first raises the epoch of the topic of results. This fences the previous
/// owner, which can no longer append results. The new owner then loads jobs and results and follows
/// the topic of jobs. From then on it is the only writer of results. An owner that was paused and
/// replaced learns of it from its next append or from its group.
///
/// Sequence numbers: within an epoch, a number that was sent with some records is never sent with
/// others, and records are never sent under a second number. Any call without an answer may still
/// be applied, and the log answers a repeated number without writing. Both hold because every
/// append has a record, a marker if there is nothing else to write: the log gives a number to such
/// appends only. If the log expects another number all the same, the owner gives up. Whether its
/// last records were written is then found out as after any hand-over: the next owner, which may be
/// on the same node and in the same epoch, takes the expected number with a marker, so that no
/// earlier call can take it, and loads the results.
namespace dockpoint {

/// Names of the topics and of the group that assigns their partitions.
struct BatchTopics {
  std::string jobs;
  std::string results;
  std::string reservations;  ///< Token reservations, see `TokenQuota`.
  std::string group;
};

/// Why an owner has ended.
enum class OwnershipEnd {
  kFenced,         ///< A newer owner has raised the epoch.
  kOutOfSequence,  ///< The log expects another sequence number, so records may not be written.
};

/// An append that was sent several times because answers were missing, and how it was settled.
struct SettledAppend {
  std::uint64_t sequence = 0;
  std::size_t records = 0;
  int calls = 0;
  Duration in_doubt{};                     ///< From the first call to the answer that counted.
  LogStatus status = LogStatus::kUnknown;  ///< `kOk`, `kFenced` or `kOutOfSequence`.
};

/// Receives the events of a partition.
class PartitionOwnerObserver {
 public:
  virtual ~PartitionOwnerObserver() = default;
  virtual void on_partition_active(int partition) = 0;
  virtual void on_job(int partition, const std::string& job) = 0;
  virtual void on_job_ended(int partition, const std::string& job) = 0;
  /// The log confirmed results of the job; they can be read.
  virtual void on_results(int partition, const std::string& job) = 0;
  /// An append of results that was in doubt got a conclusive answer.
  virtual void on_append_settled(int /*partition*/, const SettledAppend& /*append*/) {}
  /// The owner has ended and makes no further calls to the log.
  virtual void on_partition_fenced(int partition, OwnershipEnd reason) = 0;
};

/// See the top of this file. Not thread-safe; borrows all references.
class PartitionOwner : private KeyedWatchObserver {
 public:
  /// @param epoch the group generation in which the partition was assigned to this node.
  PartitionOwner(const Knobs& knobs, PartitionedLog& log, const BatchTopics& topics, int partition,
                 std::uint64_t epoch, std::uint64_t seed, PartitionOwnerObserver& observer);
  ~PartitionOwner() override;

  /// Drives calls to the log; call several times a second.
  void tick(TimePoint now);

  /// Verifies that no other owner has fenced this one: the partition is inactive until the log has
  /// confirmed an append under its epoch.
  void verify();

  /// Ends reads for good: the partition is assigned to another node, which may already have written
  /// results that this one does not have. Writes go on until the next owner fences this one.
  void end_reads() { reads_ended_ = true; }

  /// Writes a result. It appears in the ledger once the log has confirmed it.
  void write_result(const std::string& job, ItemResult result);
  /// Writes the output of an unfinished item since its last checkpoint, in one append.
  /// @param restart whether to discard all earlier checkpoints of the item.
  /// @return false if the output is too large for an append: nothing is written, and no later
  /// output of the item may be written without it.
  [[nodiscard]] bool write_checkpoint(const std::string& job, std::uint32_t item,
                                      const ItemCheckpoint& added, bool restart);

  /// @return whether jobs and results are loaded and the epoch is verified, so reads can be served.
  bool active() const { return step_ == Step::kActive && !unverified_ && !reads_ended_; }
  bool fenced() const { return step_ == Step::kFenced; }
  const JobLedger& ledger() const { return ledger_; }
  int partition() const { return partition_; }
  std::uint64_t epoch() const { return epoch_; }
  std::size_t pending_writes() const { return queue_.size() + writing_.size(); }
  /// @return the size of the largest text that fits into one append together with its overhead, in
  /// bytes.
  std::size_t largest_text() const;
  /// @return whether a result of the item is queued or being written.
  bool has_pending_result(const std::string& job, std::uint32_t item) const;

 private:
  enum class Step { kFencing, kLoadingResults, kLoadingJobs, kActive, kFenced };
  /// Records that are appended to the log together.
  struct PendingWrite {
    std::string job;
    std::vector<KeyedRecord> records;
    std::optional<ItemResult> result;  ///< The result in the records, if any.
  };

  void on_snapshot(const std::vector<KeyedRecord>& records) override;
  void on_record(const KeyedRecord& record) override;
  void on_caught_up() override;
  void on_reachable(bool reachable, Duration silence) override;

  void raise_epoch();
  void handle_raise(const AppendOutcome& outcome);
  void load_results();
  void write_queue();
  void fill_append();
  /// Appends `records` with the current sequence number.
  void append(const std::vector<KeyedRecord>& records,
              void (PartitionOwner::*handle)(const AppendOutcome&));
  /// Reports an append that was in doubt; call with each conclusive answer.
  void report_settled(std::size_t records, LogStatus status);
  std::uint32_t& next_step(const std::string& job, std::uint32_t item);
  void handle_append(const AppendOutcome& outcome);
  void retry_later();
  void end(OwnershipEnd reason);
  void apply_job_record(const KeyedRecord& record);

  const Knobs& knobs_;
  PartitionedLog& log_;
  const BatchTopics topics_;
  const int partition_;
  const std::uint64_t epoch_;
  std::mt19937_64 random_;
  PartitionOwnerObserver& observer_;
  std::shared_ptr<Life> life_ = std::make_shared<Life>();

  Step step_ = Step::kFencing;
  JobLedger ledger_;
  KeyedWatch jobs_watch_;
  bool calling_ = false;
  TimePoint now_{};
  TimePoint retry_at_{};
  int failures_ = 0;
  std::string last_page_key_;
  std::vector<KeyedRecord> loaded_results_;
  std::uint64_t sequence_ = 0;  ///< Of the next append, or of the one that is unconfirmed.
  int calls_ = 0;               ///< Calls so far with `sequence_`.
  TimePoint first_call_{};      ///< With `sequence_`.
  bool unverified_ = false;
  bool reads_ended_ = false;
  std::deque<PendingWrite> queue_;
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>
      checkpoint_steps_;                    ///< Next step number, by job and item.
  std::vector<PendingWrite> writing_;       ///< Writes in the current append, which may be a retry.
  std::vector<KeyedRecord> write_records_;  ///< Records of the current append.
};

}  // namespace dockpoint
