#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "dockpoint/membership/member.hpp"

/// Groups of nodes that send to the same replicas and exchange load digests among themselves.
///
/// Where the replicas are divided into slices (routing/replica_subset.hpp), only the nodes of one
/// zone and slice send to the same replicas, and only they need each other's load. They exchange it
/// through two relays of their own, see load_relay.hpp: 15 datagrams per second and node in a cell
/// of 25, at any size of the fleet, where direct exchange takes 120.
/// All nodes compute the cells in the same way from the members' names. Where nodes differ in their
/// view of members or slices, a digest reaches a node that does not need it, or is missed: load
/// estimates get slightly less accurate there, and correctness is not affected.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class Cell {
 public:
  /// Limit on the nodes of a cell, this one included. Larger cells would cost more than the relays
  /// of the whole fleet. They arise where there are many nodes and few replicas; there the fleet is
  /// not divided and all nodes share the replicas.
  static constexpr std::size_t kMaximumMembers = 48;

  /// @param node,zone name and zone of this node.
  Cell(std::string node, std::string zone);

  /// Recomputes the cell.
  /// @param alive the live nodes, possibly with this one; borrowed until the next call.
  /// @param slices number of slices that the zone's replicas are divided into.
  /// @param undivided_limit largest fleet, in nodes, that is not divided.
  void update(const std::vector<const Member*>& alive, std::size_t slices,
              std::size_t undivided_limit);

  /// @return whether the fleet is divided into cells.
  bool divided() const { return divided_; }
  /// @return the other nodes of this node's cell; empty if the fleet is not divided.
  const std::vector<const Member*>& others() const { return others_; }
  /// @return whether another node belongs to this node's cell; false if the fleet is not divided.
  bool contains(const std::string& node) const;

 private:
  const std::string node_;
  const std::string zone_;
  bool divided_ = false;
  std::vector<const Member*> others_;
};

}  // namespace dockpoint
