#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "dockpoint/core/time.hpp"

/// A log of topics with partitions, as dockpoint uses it.
///
/// Topics are compacted: a record has a key, history may be forgotten at any time, and the newest
/// record of each key is kept for ever; a record without a value removes its key. A producer
/// numbers its appends within an epoch: an append that is repeated after a lost answer counts
/// once, and a higher epoch fences every lower one. Consumer groups deal partitions out to their
/// members; each change of the dealing raises the group's generation.
namespace dockpoint {

using LogOffset = std::uint64_t;

/// One record of a compacted topic.
struct KeyedRecord {
  std::string key;
  std::string value;     ///< Empty: the key is removed.
  LogOffset offset = 0;  ///< Set when read.
};

/// How a call ended.
enum class LogStatus {
  kOk,
  kRefused,        ///< Nothing was done.
  kUnknown,        ///< No answer: it may have been done, or may be done later.
  kFenced,         ///< A higher epoch has been seen. Nothing was done.
  kOutOfSequence,  ///< Another sequence number is due. Nothing was done.
  kEndMoved,       ///< The partition does not end where the writer expected. Nothing was done.
  kCompacted,      ///< The records asked for are gone.
  kNotMember,      ///< The group's generation does not match.
};

/// Numbers the appends of one writer to one partition.
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
  LogOffset end = 0;   ///< End of the partition when it was read.
  LogOffset next = 0;  ///< Where to read on if that is not behind the last record; 0: it is.
  Duration age{};      ///< Of the answer: a node may pass on what it has read before.
};

/// Time that a read may take.
struct ReadTimes {
  Duration wait{};   ///< For a record, where there is none yet.
  Duration limit{};  ///< For the answer, beyond the wait; then the read is given up as `kUnknown`.
};

struct NewestOutcome {
  LogStatus status = LogStatus::kUnknown;
  std::vector<KeyedRecord> records;  ///< In order of key.
  bool more = false;                 ///< Ask again from the last key.
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

/// Limits of the service that holds the log.
struct LogLimits {
  int partitions = 1;                        ///< Of each topic.
  std::size_t record_bytes = 256 * 1024;     ///< Key and value.
  std::size_t call_bytes = 2 * 1024 * 1024;  ///< All records of one append.
  Duration minimum_lease = std::chrono::seconds(1);
};

/// The log. Calls return at once; each callback comes once, later, on the thread of the caller's
/// event loop, within a time limit: of the caller for reads, of the implementation for all others.
class PartitionedLog {
 public:
  virtual ~PartitionedLog() = default;

  virtual const LogLimits& limits() const = 0;

  /// Appends all records or none. Without records, only the epoch of `position` is raised.
  virtual void append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                      const std::optional<ProducerPosition>& position,
                      std::function<void(AppendOutcome)> done) = 0;
  /// Appends all records if the partition ends at `expected_end` (compare and set); otherwise none,
  /// and the status is `kEndMoved`. Writers that decide by what the partition holds are serialized
  /// by it.
  virtual void append_at(const TopicPartition& partition, LogOffset expected_end,
                         const std::vector<KeyedRecord>& records,
                         std::function<void(AppendOutcome)> done) = 0;
  /// Reads from an offset on.
  virtual void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                    std::function<void(ReadOutcome)> done) = 0;
  /// Reads the newest record of each key behind `after_key`, a page at a time. The pages do not
  /// form a snapshot.
  virtual void newest(const TopicPartition& partition, const std::string& after_key,
                      std::function<void(NewestOutcome)> done) = 0;
  /// Enters a group or renews the membership for `lease`.
  /// @param generation last one heard; partitions that are no longer dealt to the member are
  /// released by naming the generation that took them away.
  virtual void join(const std::string& group, const std::string& member,
                    const std::vector<std::string>& topics, Duration lease,
                    std::uint64_t generation, std::function<void(JoinOutcome)> done) = 0;
  virtual void leave(const std::string& group, const std::string& member,
                     std::function<void(LogStatus)> done) = 0;
  virtual void owners(const std::string& group, std::function<void(OwnersOutcome)> done) = 0;
};

}  // namespace dockpoint
