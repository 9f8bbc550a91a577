#include "dockpoint/routing/load_digest.hpp"

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

/// First byte of a digest; MessagePack never uses it.
constexpr char kTag = '\xc1';

/// First byte of a collection; in MessagePack a message between nodes never begins with it.
constexpr char kCollectionTag = '\xc2';

/// Of a collection beyond its digests' own bytes, and of each digest in it.
constexpr std::size_t kCollectionOverhead = 16;
constexpr std::size_t kDigestOverhead = 5;

/// Numbers of each entry in the flat list.
constexpr std::size_t kEntryNumbers = 4;

struct Wire {
  std::string node;
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_position = 0;
  bool log_reachable = false;
  std::string control_address;
  std::vector<std::uint32_t> numbers;  ///< Key, in flight, prompt tokens and items of each entry.
  DOCKPOINT_FIELDS(node, configuration_version, fleet_position, log_reachable, control_address,
                   numbers)
};

struct CollectionWire {
  std::string zone;
  bool passed_on = false;
  std::vector<std::string> digests;
  DOCKPOINT_FIELDS(zone, passed_on, digests)
};

}  // namespace

std::string encode(const LoadDigest& digest) {
  Wire wire{digest.node,          digest.configuration_version, digest.fleet_position,
            digest.log_reachable, digest.control_address,       {}};
  for (const LoadDigestEntry& entry : digest.entries) {
    wire.numbers.insert(wire.numbers.end(),
                        {entry.replica_key, entry.in_flight, entry.prefill_tokens, entry.batch});
  }
  return kTag + pack(wire);
}

bool is_load_digest(std::string_view bytes) {
  return bytes.starts_with(kTag);
}

std::optional<LoadDigest> decode_load_digest(std::string_view bytes) {
  if (!is_load_digest(bytes)) {
    return std::nullopt;
  }
  auto wire = unpack<Wire>(bytes.substr(1));
  if (!wire || wire->node.empty() || wire->numbers.size() % kEntryNumbers != 0) {
    return std::nullopt;
  }
  LoadDigest digest{std::move(wire->node), wire->configuration_version,      wire->fleet_position,
                    wire->log_reachable,   std::move(wire->control_address), {}};
  for (std::size_t index = 0; index < wire->numbers.size(); index += kEntryNumbers) {
    digest.entries.push_back({wire->numbers[index], wire->numbers[index + 1],
                              wire->numbers[index + 2], wire->numbers[index + 3]});
  }
  return digest;
}

std::vector<std::string> encode(const LoadCollection& collection, std::size_t maximum_bytes) {
  const std::size_t empty_size = kCollectionOverhead + collection.zone.size();
  std::vector<std::string> datagrams;
  CollectionWire wire{collection.zone, collection.passed_on, {}};
  std::size_t size = empty_size;
  const auto close = [&] {
    if (!wire.digests.empty()) {
      datagrams.push_back(kCollectionTag + pack(wire));
    }
    wire.digests.clear();
    size = empty_size;
  };
  for (const std::string& digest : collection.digests) {
    const std::size_t added = digest.size() + kDigestOverhead;
    if (empty_size + added > maximum_bytes) {
      continue;
    }
    if (size + added > maximum_bytes) {
      close();
    }
    wire.digests.push_back(digest);
    size += added;
  }
  close();
  return datagrams;
}

bool is_load_collection(std::string_view bytes) {
  return bytes.starts_with(kCollectionTag);
}

std::optional<LoadCollection> decode_load_collection(std::string_view bytes) {
  if (!is_load_collection(bytes)) {
    return std::nullopt;
  }
  auto wire = unpack<CollectionWire>(bytes.substr(1));
  if (!wire) {
    return std::nullopt;
  }
  return LoadCollection{std::move(wire->zone), wire->passed_on, std::move(wire->digests)};
}

}  // namespace dockpoint
