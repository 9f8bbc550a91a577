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

/// Batch jobs of one partition, as its owner holds them.
///
/// Jobs, their ends and the results of items are keyed records of compacted topics. A result is
/// written once, by the owner whose epoch fences all others, so the offsets of a job's results
/// order them the same way for every owner that ever loads them: a position, once read, holds.
namespace dockpoint {

/// One item of a job.
struct BatchItem {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  double tokens = 0;  ///< Prompt and most output.
  std::vector<std::string> header_list() const;
};

/// A job as it was accepted.
struct BatchJob {
  std::string id;  ///< Unique over all tenants, see `tenant_job_id`.
  std::string host;
  std::string path;               ///< That it was submitted to.
  std::int64_t submitted_ms = 0;  ///< Unix time.
  std::vector<BatchItem> items;
  std::string tenant{};  ///< That submitted it, and under whose name its items run; may be empty.
};

/// @return the id of a tenant's job. Jobs of different tenants never share one: no tenant can read,
/// end or overwrite the job of another, or learn that it exists.
std::string tenant_job_id(const std::string& tenant, const std::string& id);

/// The end of an item.
struct ItemResult {
  std::uint32_t item = 0;  ///< Index in the job.
  bool succeeded = false;
  std::string text;
};

/// What an unfinished item has produced, so that another run goes on behind it.
struct ItemCheckpoint {
  std::string text;                         ///< Data of the events so far.
  std::optional<std::uint64_t> last_event;  ///< Id of the last event in `text`.
  int failures = 0;                         ///< Runs that a replica answered with a failure.
};

/// One step of an item's checkpoint, as a record. Steps add up, so that text is written once.
struct CheckpointStep {
  std::uint32_t number = 0;  ///< Of the step, from 0 on.
  bool restart = false;      ///< What the steps before say is void.
  std::string text;          ///< Adds to the text so far.
  std::optional<std::uint64_t> last_event;
  int failures = 0;
};

/// @return the record of a step.
KeyedRecord checkpoint_record(const std::string& job, std::uint32_t item,
                              const CheckpointStep& step);
/// @return a record that removes a step.
KeyedRecord checkpoint_removal(const std::string& job, std::uint32_t item, std::uint32_t number);

/// @return the topic keys and values of a job; each record holds at most `record_bytes`.
std::vector<KeyedRecord> job_records(const BatchJob& job, std::size_t record_bytes);
/// @return the record that ends a job.
KeyedRecord end_record(const std::string& job);
/// @return the records of an item's result.
std::vector<KeyedRecord> result_records(const std::string& job, const ItemResult& result,
                                        std::size_t record_bytes);

/// @return the partition that holds a job.
int job_partition(const std::string& job, int partitions);

/// Puts values together that were cut into several records.
class ChunkAssembler {
 public:
  /// A value that is complete.
  struct Value {
    std::string name;  ///< Key without the number of the chunk.
    std::string value;
    LogOffset offset = 0;  ///< Of its last record.
  };
  /// Takes a record. @return the value, if this record completes it.
  std::optional<Value> add(const KeyedRecord& record);

 private:
  struct Parts {
    std::map<std::uint32_t, std::string> chunks;
    LogOffset offset = 0;
  };
  std::map<std::string, Parts> parts_;
};

/// One job in the ledger.
struct LedgerJob {
  BatchJob job;
  bool ended = false;
  std::vector<ItemResult> results;  ///< In order of position.
  std::vector<bool> listed;         ///< An item each: whether it has a result.
  bool complete() const { return results.size() == job.items.size(); }
  /// @return tokens of the items without a result; 0 once the job is ended.
  double waiting_tokens() const;
};

/// See the top of this file. Not thread-safe.
class JobLedger {
 public:
  /// Takes a record of the topic of jobs.
  /// @return the job that it brought or ended, or nothing.
  std::optional<std::string> apply_job_record(const KeyedRecord& record);
  /// Takes the results and checkpoints of a partition, as loaded.
  void load_results(std::vector<KeyedRecord> records);
  /// Adds a result that was written; a second one of the same item is dropped.
  void add_result(const std::string& job, ItemResult result);

  /// What was loaded of an unfinished item. `steps` is the number of the next step.
  struct LoadedCheckpoint {
    ItemCheckpoint checkpoint;
    std::uint32_t steps = 0;
  };
  const LoadedCheckpoint* checkpoint(const std::string& job, std::uint32_t item) const;

  const LedgerJob* find(const std::string& job) const;
  const std::map<std::string, LedgerJob>& jobs() const { return jobs_; }
  void erase(const std::string& job) { jobs_.erase(job); }

 private:
  /// A key of the topic of jobs was removed.
  void remove_job(const std::string& key);

  ChunkAssembler assembler_;
  std::map<std::string, LedgerJob> jobs_;
  std::set<std::string> ended_;
  void load_checkpoints(const std::vector<KeyedRecord>& records);

  std::map<std::pair<std::string, std::uint32_t>, LoadedCheckpoint> checkpoints_;
  std::map<std::string, std::vector<ItemResult>> early_results_;  ///< Of jobs not known yet.
};

}  // namespace dockpoint
