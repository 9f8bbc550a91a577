#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "dockpoint/membership/member.hpp"

/// The nodes that share a part of the replicas.
///
/// Where the replicas are divided into slices (routing/replica_subset.hpp), only the nodes of one
/// zone and slice send to the same ones, and only they need to know each other's load. They tell
/// each other through two relays of their own, see load_relay.hpp: 15 datagrams a second and node
/// in a cell of 25, where telling each other directly takes 120, at any size of the fleet.
/// All nodes compute cells alike from the members' names. Where one sees more members, or other
/// slices, than another, a digest goes to a node that has no use for it, or is missed: the load is
/// known a little worse there, and nothing is wrong.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class Cell {
 public:
  /// Larger cells would cost more than the relays do: they arise where nodes are many and replicas
  /// few, and there the whole fleet shares the replicas.
  static constexpr std::size_t kMaximumMembers = 48;

  /// @param node,zone of this node.
  Cell(std::string node, std::string zone);

  /// Takes the nodes that are alive, which must stay in place until the next call; this node may be
  /// among them.
  /// @param slices that the zone's replicas are divided into.
  /// @param fewest members of a fleet that divides at all.
  void update(const std::vector<const Member*>& alive, std::size_t slices,
              std::size_t undivided_limit);

  /// @return whether the fleet is divided into cells.
  bool divided() const { return divided_; }
  /// @return the other nodes of this node's cell, if it is divided.
  const std::vector<const Member*>& others() const { return others_; }
  /// @return whether a node belongs to the cell, if the fleet is divided.
  bool contains(const std::string& node) const;

 private:
  const std::string node_;
  const std::string zone_;
  bool divided_ = false;
  std::vector<const Member*> others_;
};

}  // namespace dockpoint
