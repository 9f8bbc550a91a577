#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/batch/records.hpp"
#include "dockpoint/core/mechanisms.hpp"

/// Deterministic fold of one job partition's stream: nodes that have read the same prefix have the
/// same state, so checkpoints of different nodes are interchangeable.
///
/// Rules that resolve races:
/// - A claim is applied only if it replaces the current epoch, so the first claim in offset order
///   wins.
/// - Owner decisions (accept, attempt, release) are applied only in the current epoch, so an owner
///   that resumes after a pause can decide nothing.
/// - The first completion of an item in offset order is its result, no matter which node wrote it.
///   A completion after the job's cancellation is ignored.
namespace dockpoint {

/// Status of a batch job.
enum class JobStatus { kInProgress, kCompleted, kCancelled };

/// One job's folded state.
struct JobState {
  JobSpec spec;
  bool cancelled = false;
  UnixSeconds ended_at =
      0;  ///< Time of the last completion or the cancellation; 0 while in progress.
  ItemIndex completed = 0;  ///< Number of items with a result, successful or not.
  ItemIndex failed = 0;     ///< Number of these without a 2xx answer.
  /// Per item: offset of its result record plus 1, or 0 without a result.
  std::vector<Offset> results;
  /// Epoch of the recorded attempt of each unfinished non-repeatable item.
  std::map<ItemIndex, Epoch> attempts;
  Offset first_result = 0;  ///< Offsets of the first and the last result record in the stream.
  Offset last_result = 0;
  DOCKPOINT_FIELDS(spec, cancelled, ended_at, completed, failed, results, attempts, first_result,
                   last_result)

  JobStatus status() const;
  bool in_progress() const { return status() == JobStatus::kInProgress; }
  /// @return a copy without the fields whose size grows with the number of items.
  JobState without_results() const;
  bool has_result(ItemIndex item) const { return item < results.size() && results[item] != 0; }
};

/// Result of applying a record to the state.
enum class RecordVerdict {
  kApplied,
  kStaleEpoch,  ///< Written by a former owner, or a claim that lost the race.
  kRepeated,    ///< Already in effect: the job exists, the item has its result, …
  kUnknownJob,
};

/// Fold of one partition's stream. Not thread-safe.
class PartitionState {
 public:
  explicit PartitionState(const Mechanisms& mechanisms = {}) : mechanisms_(mechanisms) {}

  /// Applies the record at `offset`, which must be `next_offset()`.
  RecordVerdict apply(Offset offset, const PartitionRecord& record);

  /// Skips a record that cannot be decoded.
  void skip(Offset offset) { next_offset_ = offset + 1; }

  Epoch epoch() const { return epoch_; }
  /// @return the owner's node id, or an empty string without an owner.
  const std::string& owner() const { return owner_; }
  std::uint64_t owner_run() const { return owner_run_; }
  Offset next_offset() const { return next_offset_; }

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  /// @return the job, or null.
  const JobState* find_job(const std::string& id) const;
  /// @return the ids of jobs in progress.
  const std::set<std::string>& open_jobs() const { return open_jobs_; }
  /// @return whether an attempt with this idempotency key is recorded and was not withdrawn.
  bool online_attempted(const std::string& key) const { return online_attempts_.contains(key); }

  /// @return the serialized state for a checkpoint.
  std::string snapshot() const;
  /// @return the state, or null if the bytes are malformed.
  static std::unique_ptr<PartitionState> restore(std::string_view bytes,
                                                 const Mechanisms& mechanisms = {});

 private:
  RecordVerdict apply_body(Offset offset, const OwnershipClaim& claim);
  RecordVerdict apply_body(Offset offset, const OwnershipRelease& release);
  RecordVerdict apply_body(Offset offset, const JobAccepted& accepted);
  RecordVerdict apply_body(Offset offset, const JobCancelled& cancelled);
  RecordVerdict apply_body(Offset offset, const ItemAttempt& attempt);
  RecordVerdict apply_body(Offset offset, const ItemCompleted& completed);
  RecordVerdict apply_body(Offset offset, const OnlineAttempt& attempt);
  RecordVerdict apply_body(Offset offset, const OnlineAttemptWithdrawn& withdrawn);

  /// @return whether an owner decision with this epoch comes from a former owner.
  bool stale(Epoch epoch) const;

  Mechanisms mechanisms_;
  Epoch epoch_ = 0;
  std::string owner_;
  std::uint64_t owner_run_ = 0;
  Offset next_offset_ = 0;
  std::map<std::string, JobState> jobs_;
  std::set<std::string> open_jobs_;
  std::map<std::string, std::string> online_attempts_;  ///< Request token, by idempotency key.
};

/// @return the name of the stream of `partition`.
std::string job_stream(int partition);

/// @return the name of the checkpoint stream of `partition`.
std::string checkpoint_stream(int partition);

/// @return the partition that `key` belongs to.
int partition_of(std::string_view key, int partitions);

/// @return a job id that contains its partition, so that any node can locate the job.
std::string make_job_id(int partition, std::string_view unique);

/// @return the partition encoded in a job id, or -1 for an invalid id.
int partition_of_job(const std::string& job_id, int partitions);

}  // namespace dockpoint
