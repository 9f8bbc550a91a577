#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "dockpoint/routing/replica_pace.hpp"

namespace dockpoint {

/// Work of one node at one replica.
struct LoadDigestEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t in_flight = 0;       ///< Requests and items.
  std::uint32_t prefill_tokens = 0;  ///< Prompt tokens sent and not answered yet.
  std::uint32_t batch = 0;           ///< Items among those in flight.
  std::uint32_t failures = 0;        ///< That the node saw there lately.
};

/// @return the number that stands for a node in digests. Two nodes of a large fleet may share one
/// (once in 50,000 fleets of 400 nodes): the last of them that is heard then counts for both.
std::uint32_t node_key(std::string_view node);

/// What a node tells the others a few times a second: its load on the replicas, its batch items,
/// and how much of the fleet it knows. It is a heartbeat too.
struct LoadDigest {
  std::uint32_t node = 0;  ///< See `node_key`.
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_position = 0;  ///< Up to which it has read the replicas' records.
  bool log_reachable = false;        ///< The node holds a valid lease in the log.
  std::uint32_t pending_items = 0;   ///< Batch items that it runs or has to run.
  std::vector<LoadDigestEntry> entries;
  SpendReport spend{};                  ///< What it has admitted of tenants with a rate limit.
  std::uint64_t operator_position = 0;  ///< Up to which it has read the operator's records.
  bool without_load = false;            ///< Its load was told to its cell, and is left out here.
  std::vector<PaceEntry> paces{};       ///< Usual paces of replicas that it has learnt lately.
};

/// @return the bytes of a digest; they never are those of another message between nodes.
std::string encode(const LoadDigest& digest);

/// @return whether the bytes are meant as a digest.
bool is_load_digest(std::string_view bytes);

/// @return the digest, or nothing if the bytes are malformed.
std::optional<LoadDigest> decode_load_digest(std::string_view bytes);

/// What a relay has heard in one interval: a heartbeat of each node, and digests as far as they
/// fit.
struct LoadCollection {
  std::string zone;        ///< Of the relay that has collected it.
  bool passed_on = false;  ///< By a relay of the receiver's zone; it goes no further.
  std::vector<std::uint32_t> reaching_log;  ///< Nodes heard that reach the log.
  std::vector<std::uint32_t> cut_off;       ///< Nodes heard that do not.
  std::vector<std::string> digests;         ///< Encoded, at most one a node.

  bool empty() const { return reaching_log.empty() && cut_off.empty() && digests.empty(); }
};

/// Most bytes that a collection takes beyond its digests' own, with so many nodes heard.
std::size_t collection_overhead(const std::string& zone, std::size_t nodes_heard);
/// Most bytes that a digest takes in a collection beyond its own.
inline constexpr std::size_t kDigestOverhead = 5;

/// @return the bytes of a collection.
std::string encode(const LoadCollection& collection);

/// @return whether the bytes are meant as a collection.
bool is_load_collection(std::string_view bytes);

/// @return the collection, or nothing if the bytes are malformed.
std::optional<LoadCollection> decode_load_collection(std::string_view bytes);

}  // namespace dockpoint
