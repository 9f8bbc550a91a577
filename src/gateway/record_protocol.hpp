#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/routing/replica_subset.hpp"

/// How nodes read the fleet's records from each other.
namespace dockpoint {

/// Path of the question.
inline constexpr std::string_view kRecordsPath = "/dockpoint/records";

/// What a node asks another one.
struct RecordQuestion {
  TopicPartition partition;
  std::string node;         ///< That asks.
  bool whole = false;       ///< It wants the records of all replicas, not its part alone.
  bool follows = false;     ///< It reads from an offset on; otherwise it loads the newest records.
  LogOffset from = 0;       ///< Of a read.
  Duration wait{};          ///< Of a read: for a record, where there is none yet.
  std::string after_key{};  ///< Of a load.
};

/// One record in an answer.
struct PassedRecord {
  std::string key;
  std::string value;
  LogOffset offset = 0;
  DOCKPOINT_FIELDS(key, value, offset)
};

/// The answer.
struct RecordAnswer {
  bool forgotten = false;  ///< The records asked for are not known any more: load anew.
  std::vector<PassedRecord> records;
  LogOffset end = 0;
  LogOffset next = 0;                ///< Of a read: where to read on; 0: behind the last record.
  bool more = false;                 ///< Of a load: ask again from the last key.
  std::uint64_t age_ms = 0;          ///< Since the log confirmed what the answer says.
  std::vector<ReplicaCount> counts;  ///< Of all replicas, where the answer holds a part of them.
  DOCKPOINT_FIELDS(forgotten, records, end, next, more, age_ms, counts)
};

/// @return the target of a question.
std::string record_target(const RecordQuestion& question);
/// @return the question, or nothing if the target does not hold one.
std::optional<RecordQuestion> read_record_target(std::string_view target);

/// @return an answer to a load or a read, without counts.
RecordAnswer answer_of(const NewestOutcome& outcome);
RecordAnswer answer_of(const ReadOutcome& outcome);

/// @return what an answer says, whose records must be in the order of their offsets for a read.
NewestOutcome newest_outcome_of(const RecordAnswer& answer);
ReadOutcome read_outcome_of(const RecordAnswer& answer);

}  // namespace dockpoint
