#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/routing/replica_directory.hpp"

/// Assigns the slots of the replicas to nodes.
///
/// Load pattern: many nodes send to the same replicas, each node a few requests a second, and each
/// learns of the others' requests only after a good part of the time that one takes. Two nodes that
/// see the same free slot both use it, and one of the two requests waits while other slots stay
/// free.
///
/// Therefore the slots of a service are assigned to the nodes in small units, by rendezvous hashing
/// with bounded loads: every node gets the same number of units, plus or minus one, preferably from
/// replicas of its own zone. All nodes compute the same assignment from the names of nodes and
/// replicas, without communication. A node knows exactly how many of its own slots are in use;
/// while one is free, it does not depend on load data from others.
///
/// The assignment is a preference, not a lock. A node without a free slot of its own sends where it
/// expects capacity, as in a fleet without shares; nodes with different member lists may count on
/// the same slot, and one request waits there briefly. The slots of a failed node pass to the
/// others as soon as its failure is detected. Few units change owners when a node or a replica is
/// added or removed.
namespace dockpoint {

/// A node that takes part in the assignment.
struct SlotHolder {
  std::string node;
  std::string zone;
  friend bool operator==(const SlotHolder&, const SlotHolder&) = default;
};

/// Slots of one replica that are assigned to this node.
struct SlotShare {
  std::uint32_t replica_key = 0;
  int slots = 0;
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class SlotShares {
 public:
  /// @param node this node.
  SlotShares(const Knobs& knobs, std::string node) : knobs_(knobs), node_(std::move(node)) {}

  /// Sets the nodes that share the replicas, this one included. With fewer than
  /// `Knobs::slot_share_nodes` no slots are assigned.
  void set_holders(std::vector<SlotHolder> holders);

  /// @return the slots assigned to this node at the replicas of a service in the directory; none if
  /// the service has too few slots to give every node a unit, or so many that computing the
  /// assignment would block the event loop, see `Knobs::slot_share_work`.
  const std::vector<SlotShare>& shares_for(const std::string& service,
                                           const ReplicaDirectory& directory);
  /// @return number of slots assigned to this node, over all services passed to `shares_for`.
  int own_slots() const;
  /// @return number of nodes that share the replicas.
  std::size_t holders() const { return members_.size(); }

 private:
  struct Holder {
    std::uint64_t hash = 0;
    std::size_t zone = 0;  ///< Index in `zones_`.
    bool own = false;
  };
  struct Assignment {
    std::uint64_t directory_revision = 0;  ///< Revision it was computed from.
    std::set<std::string> evacuated;       ///< Evacuated zones it was computed with.
    std::vector<SlotShare> shares;
  };

  std::vector<SlotShare> assign_units(const std::vector<const Replica*>& replicas) const;

  const Knobs& knobs_;
  const std::string node_;
  std::vector<SlotHolder> members_;  ///< Argument of the last `set_holders`.
  std::vector<Holder> holders_;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, Assignment> assignments_;  ///< By service.
};

}  // namespace dockpoint
