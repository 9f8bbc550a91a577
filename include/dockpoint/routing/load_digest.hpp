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
  std::uint32_t batch = 0;           ///< Items among those in flight.
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

/// Digests of several nodes, as a relay passes them on.
struct LoadCollection {
  std::string zone;                  ///< Of the relay that has collected them.
  bool passed_on = false;            ///< By a relay of the receiver's zone; it goes no further.
  std::vector<std::string> digests;  ///< Encoded, one a node.
};

/// @return datagrams of at most `maximum_bytes` that together hold the collection.
std::vector<std::string> encode(const LoadCollection& collection, std::size_t maximum_bytes);

/// @return whether the bytes are meant as a collection.
bool is_load_collection(std::string_view bytes);

/// @return the collection, or nothing if the bytes are malformed.
std::optional<LoadCollection> decode_load_collection(std::string_view bytes);

}  // namespace dockpoint
