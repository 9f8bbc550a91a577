#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/routing/replica_subset.hpp"

/// Protocol by which nodes read the fleet's records from each other.
namespace dockpoint {

/// Path of record requests.
inline constexpr std::string_view kRecordsPath = "/dockpoint/records";

/// A request for records to another node.
struct RecordQuestion {
  TopicPartition partition;
  std::string node;  ///< Name of the requesting node.
  bool whole =
      false;  ///< Requests the records of all replicas, not only those of the requester's subset.
  bool follows = false;  ///< True: a read from an offset on. False: a load of the newest records.
  LogOffset from = 0;    ///< Read: first offset.
  Duration wait{};       ///< Read: longest wait for a record if there is none yet.
  std::string after_key{};  ///< Load: key after which to continue.
};

/// One record in a response.
struct PassedRecord {
  std::string key;
  std::string value;
  LogOffset offset = 0;
  DOCKPOINT_FIELDS(key, value, offset)
};

/// The response to a record request.
struct RecordAnswer {
  bool forgotten =
      false;  ///< The requested records are no longer retained; the reader must load again.
  std::vector<PassedRecord> records;
  LogOffset end = 0;
  LogOffset next = 0;        ///< Read: offset to continue from; 0: after the last record.
  bool more = false;         ///< Load: more records follow after the last key.
  std::uint64_t age_ms = 0;  ///< Time since the log confirmed these records.
  std::vector<ReplicaCount>
      counts;  ///< Counts of all replicas, if the response holds only a subset of them.
  DOCKPOINT_FIELDS(forgotten, records, end, next, more, age_ms, counts)
};

/// @return the request target for a question.
std::string record_target(const RecordQuestion& question);
/// @return the parsed question, or nothing if the target is malformed.
std::optional<RecordQuestion> read_record_target(std::string_view target);

/// @return the response for the outcome of a load or a read, without counts.
RecordAnswer answer_of(const NewestOutcome& outcome);
RecordAnswer answer_of(const ReadOutcome& outcome);

/// @return the outcome that a response describes. For a read its records must be ordered by offset.
NewestOutcome newest_outcome_of(const RecordAnswer& answer);
ReadOutcome read_outcome_of(const RecordAnswer& answer);

}  // namespace dockpoint
