#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "dockpoint/core/time.hpp"

/// Interface to a partitioned log.
///
/// Topics are compacted: each record has a key, history may be discarded at any time, and the
/// newest record of each key is retained; a record without a value (a tombstone) removes its key. A
/// producer numbers its appends within an epoch: the log deduplicates an append that is repeated
/// after a lost answer, and a higher epoch fences all lower ones. Consumer groups assign partitions
/// to their members; each reassignment increments the group's generation.
namespace dockpoint {

using LogOffset = std::uint64_t;

/// One record of a compacted topic.
struct KeyedRecord {
  std::string key;
  std::string value;     ///< Empty: tombstone, removes the key.
  LogOffset offset = 0;  ///< Set by reads.
};

/// Status of a call.
enum class LogStatus {
  kOk,
  kRefused,        ///< Rejected. Nothing was applied.
  kUnknown,        ///< No answer: the call may have been applied, or may still be.
  kFenced,         ///< A higher epoch exists. Nothing was applied.
  kOutOfSequence,  ///< Another sequence number is expected. Nothing was applied.
  kEndMoved,       ///< The partition does not end at the expected offset. Nothing was applied.
  kCompacted,      ///< The requested offset was compacted.
  kNotMember,      ///< The group's generation does not match.
};

/// Position of an append in the sequence of one writer to one partition.
struct ProducerPosition {
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

struct AppendOutcome {
  LogStatus status = LogStatus::kUnknown;
  LogOffset first = 0;  ///< Offset of the first record.
  LogOffset end = 0;    ///< End of the partition after it.
  std::uint64_t due_sequence = 0;
};

struct ReadOutcome {
  LogStatus status = LogStatus::kUnknown;
  std::vector<KeyedRecord> records;
  LogOffset end = 0;  ///< End of the partition when it was read.
  /// Offset of the next read if not directly after the last record; 0: directly after it.
  LogOffset next = 0;
  /// Age of the data: the answer may come from a node that relays what it read earlier.
  Duration age{};
};

/// Time allowed for a read.
struct ReadTimes {
  Duration wait{};   ///< Longest wait for a record if there is none yet.
  Duration limit{};  ///< Timeout of the answer beyond the wait; the read then ends as `kUnknown`.
};

struct NewestOutcome {
  LogStatus status = LogStatus::kUnknown;
  std::vector<KeyedRecord> records;  ///< Ordered by key.
  bool more = false;                 ///< More pages follow after the last key.
  LogOffset end = 0;
  Duration age{};  ///< As in `ReadOutcome`.
};

struct TopicPartition {
  std::string topic;
  int partition = 0;
  friend bool operator==(const TopicPartition&, const TopicPartition&) = default;
  friend bool operator<(const TopicPartition& left, const TopicPartition& right) {
    return std::tie(left.topic, left.partition) < std::tie(right.topic, right.partition);
  }
};

struct JoinOutcome {
  LogStatus status = LogStatus::kUnknown;
  std::uint64_t generation = 0;
  std::vector<TopicPartition> partitions;
};

struct OwnersOutcome {
  struct Row {
    TopicPartition partition;
    std::string member;
  };
  LogStatus status = LogStatus::kUnknown;
  std::vector<Row> rows;
};

/// Limits of the log service.
struct LogLimits {
  int partitions = 1;                        ///< Per topic.
  std::size_t record_bytes = 256 * 1024;     ///< Largest key and value together.
  std::size_t call_bytes = 2 * 1024 * 1024;  ///< Largest total of the records of one append.
  Duration minimum_lease = std::chrono::seconds(1);
};

/// Client of the log. Calls return at once; each callback is invoked exactly once, later, on the
/// thread of the caller's event loop, within a timeout: the caller's for reads, the
/// implementation's for all other calls.
class PartitionedLog {
 public:
  virtual ~PartitionedLog() = default;

  virtual const LogLimits& limits() const = 0;

  /// Appends all records or none. Without records, it only raises the epoch of `position` and takes
  /// no sequence number.
  virtual void append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                      const std::optional<ProducerPosition>& position,
                      std::function<void(AppendOutcome)> done) = 0;
  /// Conditional append (compare-and-set): appends all records if the partition ends at
  /// `expected_end`; otherwise none, with status `kEndMoved`. It serializes writers whose decisions
  /// depend on the partition's content.
  virtual void append_at(const TopicPartition& partition, LogOffset expected_end,
                         const std::vector<KeyedRecord>& records,
                         std::function<void(AppendOutcome)> done) = 0;
  /// Reads records from an offset.
  virtual void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                    std::function<void(ReadOutcome)> done) = 0;
  /// Reads the newest record of each key after `after_key`, one page at a time. The pages together
  /// are not a consistent snapshot.
  virtual void newest(const TopicPartition& partition, const std::string& after_key,
                      std::function<void(NewestOutcome)> done) = 0;
  /// Joins a group or renews the membership for `lease`.
  /// @param generation last generation that the member knows; naming the generation that revoked
  /// partitions from the member releases them.
  virtual void join(const std::string& group, const std::string& member,
                    const std::vector<std::string>& topics, Duration lease,
                    std::uint64_t generation, std::function<void(JoinOutcome)> done) = 0;
  virtual void leave(const std::string& group, const std::string& member,
                     std::function<void(LogStatus)> done) = 0;
  virtual void owners(const std::string& group, std::function<void(OwnersOutcome)> done) = 0;
};

}  // namespace dockpoint
