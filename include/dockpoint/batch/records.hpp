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

/// Record types of a job partition's stream.
namespace dockpoint {

/// Ownership epoch of a partition; 0 before the first claim.
using Epoch = std::uint64_t;
using Offset = std::uint64_t;
using ItemIndex = std::uint32_t;

/// Identity of a record. A retried append keeps it.
struct RecordId {
  std::uint64_t writer = 0;  ///< Unique per node process.
  std::uint64_t number = 0;
  DOCKPOINT_FIELDS(writer, number)
  friend bool operator==(const RecordId&, const RecordId&) = default;
  friend bool operator<(const RecordId& left, const RecordId& right) {
    return std::tie(left.writer, left.number) < std::tie(right.writer, right.number);
  }
};

/// An accepted batch job.
struct JobSpec {
  std::string id;
  std::string tenant;
  std::string input_file_id;
  std::string endpoint;  ///< Request path of all items, for example `/v1/chat/completions`.
  std::string completion_window;
  std::string service;  ///< The `model` field of the items.
  ItemIndex items = 0;
  bool repeatable = true;  ///< Whether an item may run again if its outcome is unknown.
  int priority = 0;        ///< 0 to 100, relative to other batch jobs.
  std::string selector;    ///< Additional label selector as JSON, or empty.
  UnixSeconds created_at = 0;
  UnixSeconds deadline = 0;
  std::string content_digest;  ///< Distinguishes a resent job from another job with the same key.
  std::map<std::string, std::string> metadata;
  DOCKPOINT_FIELDS(id, tenant, input_file_id, endpoint, completion_window, service, items,
                   repeatable, priority, selector, created_at, deadline, content_digest, metadata)
};

/// A node claims the partition. Applied only if `replaces` is still the current epoch.
struct OwnershipClaim {
  Epoch epoch = 0;
  Epoch replaces = 0;
  std::string owner;      ///< Node id.
  std::uint64_t run = 0;  ///< Distinguishes a restarted node from its previous process.
  DOCKPOINT_FIELDS(epoch, replaces, owner, run)
};

/// The owner releases the partition.
struct OwnershipRelease {
  Epoch epoch = 0;
  DOCKPOINT_FIELDS(epoch)
};

/// The owner accepts a job.
struct JobAccepted {
  Epoch epoch = 0;
  JobSpec job;
  DOCKPOINT_FIELDS(epoch, job)
};

/// Cancels a job. Applied in any epoch, because the client requests it, not the owner.
struct JobCancelled {
  std::string job;
  UnixSeconds at = 0;
  DOCKPOINT_FIELDS(job, at)
};

/// Written before a non-repeatable item is sent.
struct ItemAttempt {
  Epoch epoch = 0;
  std::string job;
  ItemIndex item = 0;
  DOCKPOINT_FIELDS(epoch, job, item)
};

/// The outcome of an item. Applied in any epoch; the first one in offset order is the result.
struct ItemCompleted {
  std::string job;
  ItemIndex item = 0;
  std::string custom_id;
  int status = 0;       ///< HTTP status of the engine's answer; 0 without an answer.
  int result_code = 0;  ///< `ResultCode`; 0 if the engine answered.
  std::string body;     ///< The engine's answer or the error, as JSON.
  UnixSeconds at = 0;
  DOCKPOINT_FIELDS(job, item, custom_id, status, result_code, body, at)
};

/// Written before a non-repeatable online request with an idempotency key is sent.
struct OnlineAttempt {
  Epoch epoch = 0;
  std::string key;    ///< Hash of tenant and idempotency key.
  std::string token;  ///< Unique per request.
  DOCKPOINT_FIELDS(epoch, key, token)
};

/// The request of an online attempt certainly did not run, so its key may be used again. Applied
/// only if `token` is that of the request holding the key, and therefore in any epoch.
struct OnlineAttemptWithdrawn {
  std::string key;
  std::string token;
  DOCKPOINT_FIELDS(key, token)
};

/// Identifies one of the requests that share an idempotency key.
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

/// @return the serialized record, including its format version.
std::string encode(const PartitionRecord& record);

/// @return the record, or nothing for malformed bytes and unknown record types of a later version.
/// All nodes skip such records when folding.
std::optional<PartitionRecord> decode_partition_record(std::string_view bytes);

}  // namespace dockpoint
