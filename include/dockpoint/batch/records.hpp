#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/core/time.hpp"

/// Records of a job partition's stream.
namespace dockpoint {

/// Number of an ownership of a partition; 0 before the first.
using Epoch = std::uint64_t;
using Offset = std::uint64_t;
using ItemIndex = std::uint32_t;

/// Identity of a record, the same for an append that is repeated.
struct RecordId {
  std::uint64_t writer = 0;  ///< Unique for each run of each node.
  std::uint64_t number = 0;
  DOCKPOINT_FIELDS(writer, number)
  friend bool operator==(const RecordId&, const RecordId&) = default;
  friend bool operator<(const RecordId& left, const RecordId& right) {
    return std::tie(left.writer, left.number) < std::tie(right.writer, right.number);
  }
};

/// A batch job as it was accepted.
struct JobSpec {
  std::string id;
  std::string tenant;
  std::string input_file_id;
  std::string endpoint;  ///< Path that every item is meant for, such as `/v1/chat/completions`.
  std::string completion_window;
  std::string service;  ///< The `model` that the items name.
  ItemIndex items = 0;
  bool repeatable = true;  ///< Whether an item may run again when its end is unknown.
  int priority = 0;        ///< 0 to 100, among batch jobs only.
  std::string selector;    ///< JSON of a further selector over labels, or empty.
  UnixSeconds created_at = 0;
  UnixSeconds deadline = 0;
  std::string content_digest;  ///< Tells a resent job from a different one under the same key.
  std::map<std::string, std::string> metadata;
  DOCKPOINT_FIELDS(id, tenant, input_file_id, endpoint, completion_window, service, items,
                   repeatable, priority, selector, created_at, deadline, content_digest, metadata)
};

/// A node takes the partition over. Counts only if `replaces` is still the current epoch.
struct OwnershipClaim {
  Epoch epoch = 0;
  Epoch replaces = 0;
  std::string owner;      ///< Node id.
  std::uint64_t run = 0;  ///< Tells a restarted node from its former self.
  DOCKPOINT_FIELDS(epoch, replaces, owner, run)
};

/// The owner gives the partition up.
struct OwnershipRelease {
  Epoch epoch = 0;
  DOCKPOINT_FIELDS(epoch)
};

struct JobAccepted {
  Epoch epoch = 0;
  JobSpec job;
  DOCKPOINT_FIELDS(epoch, job)
};

/// Taken from any epoch: a cancel is the caller's wish, not the owner's decision.
struct JobCancelled {
  std::string job;
  UnixSeconds at = 0;
  DOCKPOINT_FIELDS(job, at)
};

/// Precedes the sending of an item that must not be repeated.
struct ItemAttempt {
  Epoch epoch = 0;
  std::string job;
  ItemIndex item = 0;
  DOCKPOINT_FIELDS(epoch, job, item)
};

/// The end of an item. Taken from any epoch; the first in offset order is the result.
struct ItemCompleted {
  std::string job;
  ItemIndex item = 0;
  std::string custom_id;
  int status = 0;       ///< HTTP status of the engine's answer; 0 if there is none.
  int result_code = 0;  ///< `ResultCode`; 0 if the engine answered.
  std::string body;     ///< The engine's answer or the error, JSON.
  UnixSeconds at = 0;
  DOCKPOINT_FIELDS(job, item, custom_id, status, result_code, body, at)
};

/// Precedes the sending of an online request that must not be repeated and carries a key.
struct OnlineAttempt {
  Epoch epoch = 0;
  std::string key;    ///< Hash of tenant and idempotency key.
  std::string token;  ///< Unique to the request that wants to be sent.
  DOCKPOINT_FIELDS(epoch, key, token)
};

/// The request of an online attempt certainly did not run; its key may be used again. Counts only
/// for the very request that holds the key, so it is taken from any epoch.
struct OnlineAttemptWithdrawn {
  std::string key;
  std::string token;
  DOCKPOINT_FIELDS(key, token)
};

/// Names one request among those that come under one idempotency key.
struct AttemptTicket {
  std::string key;
  std::string token;
};

using RecordBody = std::variant<OwnershipClaim, OwnershipRelease, JobAccepted, JobCancelled,
                                ItemAttempt, ItemCompleted, OnlineAttempt, OnlineAttemptWithdrawn>;

/// One record of a partition's stream.
struct PartitionRecord {
  RecordId id;
  RecordBody body;
};

/// @return the bytes of the record, its format version included.
std::string encode(const PartitionRecord& record);

/// @return the record, or nothing for malformed bytes and types of a later version. Folds skip
/// such records, all nodes alike.
std::optional<PartitionRecord> decode_partition_record(std::string_view bytes);

}  // namespace dockpoint
