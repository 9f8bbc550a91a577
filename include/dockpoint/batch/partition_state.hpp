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

/// The fold of one job partition's stream: pure, so whoever has read the same prefix has the same
/// state, and any node's checkpoint of a prefix is as good as any other's.
///
/// The rules that make races harmless:
/// - A claim counts only if it replaces the current epoch, so the first claim in offset order wins.
/// - Records that decide something (accept, attempt, release) count only in the current epoch, so
///   an owner that was paused and wakes up decides nothing.
/// - The first completion of an item in offset order is its result, whoever wrote it; a completion
///   after the job's cancel is dropped.
namespace dockpoint {

/// Where a job stands.
enum class JobStatus { kInProgress, kCompleted, kCancelled };

/// One job's folded state.
struct JobState {
  JobSpec spec;
  bool cancelled = false;
  UnixSeconds ended_at = 0;  ///< Of the last completion or the cancel; 0 while in progress.
  ItemIndex completed = 0;   ///< Items with a result, of any kind.
  ItemIndex failed = 0;      ///< Of these, items without a 2xx answer.
  /// Offset of each item's result record plus 1; 0 while there is none.
  std::vector<Offset> results;
  /// Epoch of the attempt of each item that must not be repeated.
  std::map<ItemIndex, Epoch> attempts;
  Offset first_result = 0;  ///< Bounds of the result records in the stream, inclusive.
  Offset last_result = 0;
  DOCKPOINT_FIELDS(spec, cancelled, ended_at, completed, failed, results, attempts, first_result,
                   last_result)

  JobStatus status() const;
  bool in_progress() const { return status() == JobStatus::kInProgress; }
  /// @return a copy that leaves out what grows with the number of items.
  JobState without_results() const;
  bool has_result(ItemIndex item) const { return item < results.size() && results[item] != 0; }
};

/// Whether a record changed the state.
enum class RecordVerdict {
  kApplied,
  kStaleEpoch,  ///< Written by a former owner, or a claim that lost.
  kRepeated,    ///< Says what was said before: the job exists, the item has its result, …
  kUnknownJob,
};

/// Fold of one partition's stream. Not thread-safe.
class PartitionState {
 public:
  explicit PartitionState(const Mechanisms& mechanisms = {}) : mechanisms_(mechanisms) {}

  /// Applies the record at `offset`, which must be `next_offset()`.
  RecordVerdict apply(Offset offset, const PartitionRecord& record);

  /// Passes over a record that cannot be decoded.
  void skip(Offset offset) { next_offset_ = offset + 1; }

  Epoch epoch() const { return epoch_; }
  /// @return the owner's node id; empty if there is none.
  const std::string& owner() const { return owner_; }
  std::uint64_t owner_run() const { return owner_run_; }
  Offset next_offset() const { return next_offset_; }

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  /// @return the job, or null.
  const JobState* find_job(const std::string& id) const;
  /// @return the ids of jobs that have items left to run.
  const std::set<std::string>& open_jobs() const { return open_jobs_; }
  /// @return whether an online request with this key was ever attempted.
  bool online_attempted(const std::string& key) const { return online_attempts_.contains(key); }

  /// @return the state as bytes, for a checkpoint.
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

  /// @return whether a record that decides something was written by a former owner.
  bool stale(Epoch epoch) const;

  Mechanisms mechanisms_;
  Epoch epoch_ = 0;
  std::string owner_;
  std::uint64_t owner_run_ = 0;
  Offset next_offset_ = 0;
  std::map<std::string, JobState> jobs_;
  std::set<std::string> open_jobs_;
  std::map<std::string, std::string> online_attempts_;  ///< Token by key.
};

/// @return the name of the stream of `partition`.
std::string job_stream(int partition);

/// @return the name of the stream of checkpoints of `partition`.
std::string checkpoint_stream(int partition);

/// @return the partition that `key` belongs to.
int partition_of(std::string_view key, int partitions);

/// Job ids carry their partition, so that any node can tell where a job lives.
std::string make_job_id(int partition, std::string_view unique);

/// @return the partition in a job id, or -1 if it is not one.
int partition_of_job(const std::string& job_id, int partitions);

}  // namespace dockpoint
