#include "dockpoint/routing/load_digest.hpp"

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// First byte of a digest; unused in MessagePack.
constexpr char kDigestTag = '\xc1';

/// First byte of a collection; no MessagePack message between nodes starts with it.
constexpr char kCollectionTag = '\xc2';

/// Upper bounds on the bytes of an empty collection without its zone, and of each node key in it.
constexpr std::size_t kCollectionOverhead = 24;
constexpr std::size_t kNodeBytes = 5;

/// Numbers per entry in the flat lists of `Wire`.
constexpr std::size_t kEntryNumbers = 5;
constexpr std::size_t kSpendNumbers = 3;
constexpr std::size_t kPaceNumbers = 2;

struct Wire {
  std::uint32_t node = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t fleet_position = 0;
  bool log_reachable = false;
  std::uint32_t pending_items = 0;
  std::vector<std::uint32_t> numbers;  ///< Entries, flattened in the order of their fields.
  std::uint32_t run = 0;
  std::uint32_t number = 0;
  std::uint32_t known_nodes = 0;
  std::vector<std::uint32_t> spends;  ///< Flattened like `numbers`.
  std::uint64_t operator_position = 0;
  bool without_load = false;
  std::vector<std::uint32_t> paces;  ///< Flattened like `numbers`.
  DOCKPOINT_FIELDS(node, configuration_version, fleet_position, log_reachable, pending_items,
                   numbers, run, number, known_nodes, spends, operator_position, without_load,
                   paces)
};

struct CollectionWire {
  std::string zone;
  bool passed_on = false;
  std::vector<std::uint32_t> reaching_log;
  std::vector<std::uint32_t> cut_off;
  std::vector<std::string> digests;
  DOCKPOINT_FIELDS(zone, passed_on, reaching_log, cut_off, digests)
};

}  // namespace

std::uint32_t node_key(std::string_view node) {
  return static_cast<std::uint32_t>(hash64(node));
}

std::string encode(const LoadDigest& digest) {
  Wire wire{digest.node,
            digest.configuration_version,
            digest.fleet_position,
            digest.log_reachable,
            digest.pending_items,
            {},
            digest.spend.run,
            digest.spend.number,
            digest.spend.known_nodes,
            {},
            digest.operator_position,
            digest.without_load,
            {}};
  for (const LoadDigestEntry& entry : digest.entries) {
    wire.numbers.insert(wire.numbers.end(), {entry.replica_key, entry.in_flight,
                                             entry.prefill_tokens, entry.batch, entry.failures});
  }
  for (const TenantSpend& spend : digest.spend.spends) {
    wire.spends.insert(wire.spends.end(), {spend.tenant, spend.total, spend.recent});
  }
  for (const PaceEntry& pace : digest.paces) {
    wire.paces.insert(wire.paces.end(), {pace.replica_key, pace.step_us});
  }
  return kDigestTag + pack(wire);
}

bool is_load_digest(std::string_view bytes) {
  return bytes.starts_with(kDigestTag);
}

std::optional<LoadDigest> decode_load_digest(std::string_view bytes) {
  if (!is_load_digest(bytes)) {
    return std::nullopt;
  }
  auto wire = unpack<Wire>(bytes.substr(1));
  if (!wire || wire->numbers.size() % kEntryNumbers != 0 ||
      wire->spends.size() % kSpendNumbers != 0 || wire->paces.size() % kPaceNumbers != 0) {
    return std::nullopt;
  }
  LoadDigest digest{wire->node,
                    wire->configuration_version,
                    wire->fleet_position,
                    wire->log_reachable,
                    wire->pending_items,
                    {},
                    {wire->run, wire->number, wire->known_nodes, {}},
                    wire->operator_position,
                    wire->without_load};
  for (std::size_t index = 0; index < wire->numbers.size(); index += kEntryNumbers) {
    digest.entries.push_back({wire->numbers[index], wire->numbers[index + 1],
                              wire->numbers[index + 2], wire->numbers[index + 3],
                              wire->numbers[index + 4]});
  }
  for (std::size_t index = 0; index < wire->spends.size(); index += kSpendNumbers) {
    digest.spend.spends.push_back(
        {wire->spends[index], wire->spends[index + 1], wire->spends[index + 2]});
  }
  for (std::size_t index = 0; index < wire->paces.size(); index += kPaceNumbers) {
    digest.paces.push_back({wire->paces[index], wire->paces[index + 1]});
  }
  return digest;
}

std::size_t collection_overhead(const std::string& zone, std::size_t nodes_heard) {
  return kCollectionOverhead + zone.size() + nodes_heard * kNodeBytes;
}

std::string encode(const LoadCollection& collection) {
  return kCollectionTag +
         pack(CollectionWire{collection.zone, collection.passed_on, collection.reaching_log,
                             collection.cut_off, collection.digests});
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
  return LoadCollection{std::move(wire->zone), wire->passed_on, std::move(wire->reaching_log),
                        std::move(wire->cut_off), std::move(wire->digests)};
}

}  // namespace dockpoint
