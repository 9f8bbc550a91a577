#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dockpoint/core/codec.hpp"

/// Which replicas a node uses, where there are more than it needs.
///
/// Load pattern: thousands of replicas before hundreds of small nodes. If every node may use every
/// replica, each choice walks all of them, each pair of node and replica is a connection of its
/// own, what a node learns of a replica comes from a request in hours, and the load on them has to
/// be told to everybody. So the replicas of a service are divided into slices, by the hash of their
/// names, and the nodes of a zone into as many, by the hash of theirs (deterministic subsetting). A
/// node uses the slice of its zone's replicas that has its number, and a few of other zones for
/// when those are gone. Nodes of one slice share what they learn, see membership/cell.hpp.
///
/// The number of slices is a power of two, so that each slice divides into two whole ones when a
/// fleet grows, and it changes only when slices have become half as large again as they should or
/// less than three quarters: nodes that see some replicas come and go keep their slices. A service
/// with few replicas is not divided: there, knowing all of them balances better than any part.
namespace dockpoint {

/// Replicas of a service in a zone, and how a node that knows all of them divides them. Whoever is
/// told takes the division as it is: the same count may be divided in two ways, by whether the
/// service grew or shrank, and a node that divided more coarsely than its source would keep
/// replicas of which it is never told that they drain.
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
  /// A service with fewer replicas is used whole, by every node: any part of it would balance
  /// worse, and 512 records and loads are about half a megabyte of a process (computed).
  static constexpr std::size_t kUndivided = 512;
  /// Replicas of the own zone that a slice should have. With 8 slots each that is room for a
  /// thousand requests, whose number strays by 3% of itself (computed), from some dozens of nodes.
  static constexpr std::size_t kSliceReplicas = 128;
  /// Slices of another zone's replicas are so many times finer: spares, for when the own ones are
  /// gone, which cost a node few connections.
  static constexpr std::size_t kSpareDivisor = 16;

  /// @param zone,node of this node.
  ReplicaSubset(std::string zone, std::string_view node);

  /// A replica was registered, or is gone.
  void add(const std::string& service, const std::string& zone);
  void remove(const std::string& service, const std::string& zone);

  /// Takes the counts and the division of a node that knows all replicas, in place of its own.
  void adopt_counts(const std::vector<ReplicaCount>& counts);
  /// @return what was counted.
  std::vector<ReplicaCount> counts() const;

  /// @return whether this node uses the replica.
  bool contains(const std::string& service, const std::string& zone, std::string_view name) const;
  /// @return whether another node of the same zone does.
  bool contains_for(std::uint64_t node_hash, const std::string& service, const std::string& zone,
                    std::string_view name) const;
  /// @return slices that the nodes of this zone divide into: those of its most divided service.
  std::size_t slices() const;
  /// @return replicas of all services.
  std::size_t replicas() const;
  /// Changes whenever `contains` may answer otherwise for a replica that was registered before,
  std::uint64_t revision() const { return revision_; }
  /// and this, whenever the part has taken in replicas that it did not have before.
  std::uint64_t widened() const { return widened_; }

  /// @return the slice of a node or a replica.
  static std::size_t slice_of(std::uint64_t hash, std::size_t slices);

 private:
  struct Service {
    std::size_t replicas = 0;
    bool divided = false;
    std::map<std::string, std::pair<std::size_t, std::size_t>> zones;  ///< Replicas and slices.
  };

  void count(const std::string& service, const std::string& zone, int change);
  /// Sets how a zone's replicas are divided, and notes whether that narrows or widens the part.
  void divide(Service& counted, const std::string& zone, std::size_t replicas, std::size_t slices,
              bool divided);
  /// @return the number of slices for so many replicas, the present one if it still fits.
  static std::size_t fitting_slices(std::size_t replicas, std::size_t present);

  const std::string zone_;
  const std::uint64_t hash_;
  std::map<std::string, Service> services_;
  std::uint64_t revision_ = 1;
  std::uint64_t widened_ = 1;
};

}  // namespace dockpoint
