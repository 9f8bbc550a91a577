#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/streaming/stream_origin.hpp"

/// In-memory index of the batch jobs of one partition, kept by its owner.
///
/// Jobs, end-of-job markers and item results are keyed records in compacted topics. A result is
/// written once, by the owner whose epoch fences all others. The offsets of a job's results
/// therefore give every later owner the same order: a result position never changes once read.
namespace dockpoint {

/// One item of a job.
struct BatchItem {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  double tokens = 0;  ///< Prompt tokens plus the maximum output tokens.
  std::vector<std::string> header_list() const;
};

/// A job as it was accepted.
struct BatchJob {
  std::string id;  ///< Unique across all tenants, see `tenant_job_id`.
  std::string host;
  std::string path;               ///< Path the job was submitted to.
  std::int64_t submitted_ms = 0;  ///< Unix time.
  std::vector<BatchItem> items;
  std::string
      tenant{};  ///< Tenant that submitted the job and as which its items run; may be empty.
};

/// @return the internal id of a tenant's job. Jobs of different tenants never share an id, so no
/// tenant can read, end or overwrite another tenant's job, or learn that it exists.
std::string tenant_job_id(const std::string& tenant, const std::string& id);

/// The final outcome of an item.
struct ItemResult {
  std::uint32_t item = 0;  ///< Index in the job.
  bool succeeded = false;
  std::string text;
};

/// Partial output of an unfinished item, from which another run resumes.
struct ItemCheckpoint {
  std::string text;                         ///< Concatenated data of the stream events so far.
  std::optional<std::uint64_t> last_event;  ///< Id of the last event in `text`.
  int failures = 0;  ///< Number of runs for which a replica returned a failure.
  /// Where `text` was produced. Unknown if an older build wrote it, or builds that disagree.
  StreamOrigin origin{};
};

/// One incremental step of an item's checkpoint, stored as a record. Steps are concatenated, so
/// that text is written only once.
struct CheckpointStep {
  std::uint32_t number = 0;  ///< Sequence number of the step, starting at 0.
  bool restart = false;      ///< Discards all earlier steps.
  std::string text;          ///< Appended to the text of the earlier steps.
  std::optional<std::uint64_t> last_event;
  int failures = 0;
  StreamOrigin origin{};  ///< Where the text was produced.
};

/// @return the record that stores a checkpoint step.
KeyedRecord checkpoint_record(const std::string& job, std::uint32_t item,
                              const CheckpointStep& step);
/// @return a tombstone that removes a checkpoint step.
KeyedRecord checkpoint_removal(const std::string& job, std::uint32_t item, std::uint32_t number);

/// @return the records of a job for the topic of jobs, each of at most `record_bytes`.
std::vector<KeyedRecord> job_records(const BatchJob& job, std::size_t record_bytes);
/// @return the record that marks a job as ended.
KeyedRecord end_record(const std::string& job);
/// @return the records of an item's result, each of at most `record_bytes`.
std::vector<KeyedRecord> result_records(const std::string& job, const ItemResult& result,
                                        std::size_t record_bytes);

/// @return the partition that a job belongs to.
int job_partition(const std::string& job, int partitions);

/// Reassembles values that were split into several records.
class ChunkAssembler {
 public:
  /// A completely reassembled value.
  struct Value {
    std::string name;  ///< Record key without the chunk index.
    std::string value;
    LogOffset offset = 0;  ///< Offset of its last record.
  };
  /// Adds a record.
  /// @return the value if this record completes it.
  std::optional<Value> add(const KeyedRecord& record);

 private:
  struct Parts {
    std::map<std::uint32_t, std::string> chunks;
    LogOffset offset = 0;
  };
  std::map<std::string, Parts> parts_;
};

/// A job with its results.
struct LedgerJob {
  BatchJob job;
  bool ended = false;
  std::vector<ItemResult> results;  ///< Ordered by result position.
  std::vector<bool> listed;         ///< Per item: whether it has a result.
  bool complete() const { return results.size() == job.items.size(); }
  /// @return the total tokens of the items without a result; 0 once the job has ended.
  double waiting_tokens() const;
};

/// See the top of this file. Not thread-safe.
class JobLedger {
 public:
  /// Applies a record of the topic of jobs.
  /// @return the id of the job that the record added or ended, or nothing.
  std::optional<std::string> apply_job_record(const KeyedRecord& record);
  /// Indexes the loaded results and checkpoints of the partition.
  void load_results(std::vector<KeyedRecord> records);
  /// Adds a result that the log has confirmed. A second result of the same item is ignored.
  void add_result(const std::string& job, ItemResult result);

  /// The loaded checkpoint of an unfinished item. `steps` is the number of the next step.
  struct LoadedCheckpoint {
    ItemCheckpoint checkpoint;
    std::uint32_t steps = 0;
  };
  const LoadedCheckpoint* checkpoint(const std::string& job, std::uint32_t item) const;

  const LedgerJob* find(const std::string& job) const;
  const std::map<std::string, LedgerJob>& jobs() const { return jobs_; }
  void erase(const std::string& job) { jobs_.erase(job); }

 private:
  /// Removes the job whose key was deleted from the topic of jobs.
  void remove_job(const std::string& key);

  ChunkAssembler assembler_;
  std::map<std::string, LedgerJob> jobs_;
  std::set<std::string> ended_;
  void load_checkpoints(const std::vector<KeyedRecord>& records);

  std::map<std::pair<std::string, std::uint32_t>, LoadedCheckpoint> checkpoints_;
  std::map<std::string, std::vector<ItemResult>>
      early_results_;  ///< Results loaded before their job.
};

}  // namespace dockpoint
