#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "dockpoint/routing/replica_pace.hpp"

namespace dockpoint {

/// One node's load on one replica.
struct LoadDigestEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t in_flight = 0;       ///< Online requests and batch items.
  std::uint32_t prefill_tokens = 0;  ///< Prompt tokens of requests that are not answered yet.
  std::uint32_t batch = 0;           ///< Batch items among `in_flight`.
  std::uint32_t failures = 0;        ///< Recent failures that the node saw at the replica.
};

/// @return the key that identifies a node in digests. Two nodes of a large fleet may share a key
/// (once in 50,000 fleets of 400 nodes): the digest received last then counts for both.
std::uint32_t node_key(std::string_view node);

/// Digest that a node gossips a few times a second: its load on the replicas, its batch items, and
/// how far it has read the fleet's records. Also serves as a heartbeat.
struct LoadDigest {
  std::uint32_t node = 0;  ///< See `node_key`.
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_position = 0;  ///< Offset up to which it has read the replicas' records.
  bool log_reachable = false;        ///< The node holds a valid lease in the log.
  std::uint32_t pending_items = 0;   ///< Batch items running or queued at the node.
  std::vector<LoadDigestEntry> entries;
  SpendReport spend{};                  ///< Admitted usage of tenants with a rate limit.
  std::uint64_t operator_position = 0;  ///< Offset up to which it has read the operator's records.
  bool without_load = false;            ///< The load went to the cell already and is omitted here.
  std::vector<PaceEntry> paces{};       ///< Typical paces of replicas, measured recently.
};

/// @return the encoded digest; no other message between nodes starts with the same byte.
std::string encode(const LoadDigest& digest);

/// @return whether the bytes start with a digest's tag.
bool is_load_digest(std::string_view bytes);

/// @return the digest, or nothing if the bytes are malformed.
std::optional<LoadDigest> decode_load_digest(std::string_view bytes);

/// What a relay received in one interval: a heartbeat of each node, and as many digests as fit.
struct LoadCollection {
  std::string zone;        ///< Zone of the relay that built it.
  bool passed_on = false;  ///< Forwarded by a relay in the receiver's zone; not forwarded again.
  std::vector<std::uint32_t> reaching_log;  ///< Nodes heard that reach the log.
  std::vector<std::uint32_t> cut_off;       ///< Nodes heard that do not reach the log.
  std::vector<std::string> digests;         ///< Encoded, at most one per node.

  bool empty() const { return reaching_log.empty() && cut_off.empty() && digests.empty(); }
};

/// @return an upper bound on the collection's size beyond its digests, with `nodes_heard` nodes.
std::size_t collection_overhead(const std::string& zone, std::size_t nodes_heard);
/// Upper bound on the framing bytes of one digest in a collection.
inline constexpr std::size_t kDigestOverhead = 5;

/// @return the encoded collection.
std::string encode(const LoadCollection& collection);

/// @return whether the bytes start with a collection's tag.
bool is_load_collection(std::string_view bytes);

/// @return the collection, or nothing if the bytes are malformed.
std::optional<LoadCollection> decode_load_collection(std::string_view bytes);

}  // namespace dockpoint
