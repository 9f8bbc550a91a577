#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dockpoint/core/codec.hpp"

/// Selects which replicas a node uses, in fleets that have more than one node needs.
///
/// Load pattern: thousands of replicas behind hundreds of small nodes. If every node used every
/// replica, each choice would scan all of them, each pair of node and replica would need its own
/// connection, a node's health data about a replica would come from one request in hours, and the
/// load of all replicas would have to reach all nodes. Therefore the replicas of a service are
/// divided into slices by the hash of their names, and the nodes of a zone into equally many slices
/// by the hash of theirs (deterministic subsetting). A node uses the slice of its zone's replicas
/// that has its own number, and a few replicas of other zones as spares for when those are gone.
/// Nodes of one slice share load and health data, see membership/cell.hpp.
///
/// The number of slices is a power of two, so that each slice splits into two whole ones when the
/// fleet grows. It changes only when slices have become half as large again as intended or smaller
/// than three quarters of the intended size, so nodes keep their slices while a few replicas come
/// and go. A service with few replicas is not divided: using all of them balances better than using
/// any subset.
namespace dockpoint {

/// Number of replicas of a service in a zone, and how a node that knows all of them divides them.
/// Receivers adopt the division as it is: the same count may be divided in two ways, depending on
/// whether the service grew or shrank, and a node that divided more coarsely than its source would
/// keep replicas whose drain is never announced to it.
struct ReplicaCount {
  std::string service;
  std::string zone;
  std::uint64_t replicas = 0;
  std::uint64_t slices = 1;
  bool divided = false;
  DOCKPOINT_FIELDS(service, zone, replicas, slices, divided)
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ReplicaSubset {
 public:
  /// Every node uses all replicas of a service with fewer than this: any subset would balance
  /// worse, and 512 records and loads take about half a megabyte of a process (computed).
  static constexpr std::size_t kUndivided = 512;
  /// Intended replicas of the own zone in a slice. With 8 slots each, they hold a thousand requests
  /// from some dozens of nodes; the standard deviation of that number is 3% (computed).
  static constexpr std::size_t kSliceReplicas = 128;
  /// Slices of other zones' replicas are finer by this factor: they are spares for when the own
  /// ones are gone, and cost a node few connections.
  static constexpr std::size_t kSpareDivisor = 16;

  /// @param zone,node of this node.
  ReplicaSubset(std::string zone, std::string_view node);

  /// Counts a replica that was registered or removed.
  void add(const std::string& service, const std::string& zone);
  void remove(const std::string& service, const std::string& zone);

  /// Replaces the counts and the division by those of a node that knows all replicas.
  void adopt_counts(const std::vector<ReplicaCount>& counts);
  /// @return the counts and the division of every service and zone.
  std::vector<ReplicaCount> counts() const;

  /// @return whether this node uses the replica.
  bool contains(const std::string& service, const std::string& zone, std::string_view name) const;
  /// @return whether another node of the same zone uses the replica.
  bool contains_for(std::uint64_t node_hash, const std::string& service, const std::string& zone,
                    std::string_view name) const;
  /// @return number of slices of the nodes in this zone: that of its most finely divided service.
  std::size_t slices() const;
  /// @return whether nodes use only a part of the replicas of some service.
  bool divided() const;
  /// @return number of replicas of all services.
  std::size_t replicas() const;
  /// Changes whenever the result of `contains` may change for a replica registered earlier.
  std::uint64_t revision() const { return revision_; }
  /// Changes whenever the subset may include replicas that were not part of it before.
  std::uint64_t widened() const { return widened_; }

  /// @return the slice of a node or a replica.
  static std::size_t slice_of(std::uint64_t hash, std::size_t slices);

 private:
  struct Service {
    std::size_t replicas = 0;
    bool divided = false;
    std::map<std::string, std::pair<std::size_t, std::size_t>>
        zones;  ///< Number of replicas and of slices.
  };

  void count(const std::string& service, const std::string& zone, int change);
  /// Sets the count and division of a zone's replicas, and updates the revisions if the subset
  /// changes.
  void divide(Service& counted, const std::string& zone, std::size_t replicas, std::size_t slices,
              bool divided);
  /// @return the number of slices for a number of replicas; `present` if it still fits.
  static std::size_t fitting_slices(std::size_t replicas, std::size_t present);

  const std::string zone_;
  const std::uint64_t hash_;
  std::map<std::string, Service> services_;
  std::uint64_t revision_ = 1;
  std::uint64_t widened_ = 1;
};

}  // namespace dockpoint
