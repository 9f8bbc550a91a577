#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dockpoint {

/// Work of one node at one replica.
struct LoadDigestEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t in_flight = 0;       ///< Requests and items.
  std::uint32_t prefill_tokens = 0;  ///< Prompt tokens sent and not answered yet.
};

/// What a node tells every other a few times a second: its load on the replicas, and how much of
/// the fleet it knows. It is a heartbeat too.
struct LoadDigest {
  std::string node;
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_position = 0;  ///< Up to which it has read the replicas' records.
  bool log_reachable = false;        ///< The node holds a valid lease in the log.
  std::string control_address;       ///< `IP:port` where it can be asked for what it knows.
  std::vector<LoadDigestEntry> entries;
};

/// @return the bytes of a digest; they never are those of another message between nodes.
std::string encode(const LoadDigest& digest);

/// @return whether the bytes are meant as a digest.
bool is_load_digest(std::string_view bytes);

/// @return the digest, or nothing if the bytes are malformed.
std::optional<LoadDigest> decode_load_digest(std::string_view bytes);

}  // namespace dockpoint
