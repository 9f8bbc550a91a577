#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/routing/replica_directory.hpp"

/// Which slots of the replicas are a node's own.
///
/// Load pattern: many nodes send to the same replicas, each node a few requests a second, and each
/// learns of the others' requests only after a good part of the time that one takes. Two nodes that
/// see the same free slot take it at once, and one of the two requests waits while other slots stay
/// free.
///
/// The slots of a service are therefore dealt to the nodes in small units, by rendezvous hashing
/// with an upper bound: every node gets the same number of units, give or take one, from replicas
/// of its own zone first. All nodes compute the same deal from the names of nodes and replicas,
/// without talking. A node knows exactly how many of its own slots are in use. While one is free it
/// needs no news of the others.
///
/// The deal is a preference, no lock. A node without a free slot of its own sends where it expects
/// room, like in a fleet without shares; nodes that see different members may count on the same
/// slot, and one request waits there for a moment. The slots of a node that is gone pass to the
/// others as soon as it is missed. Few units change hands when a node or a replica comes or goes.
namespace dockpoint {

/// A node that takes part in the deal.
struct SlotHolder {
  std::string node;
  std::string zone;
  friend bool operator==(const SlotHolder&, const SlotHolder&) = default;
};

/// Own slots of a node at one replica.
struct SlotShare {
  std::uint32_t replica_key = 0;
  int slots = 0;
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class SlotShares {
 public:
  /// @param node of which the shares are.
  SlotShares(const Knobs& knobs, std::string node) : knobs_(knobs), node_(std::move(node)) {}

  /// Takes the nodes that share the replicas, this one included. With fewer than
  /// `Knobs::slot_share_nodes` nothing is dealt.
  void set_holders(std::vector<SlotHolder> holders);

  /// @return this node's own slots at the replicas of a service, as the directory has them; none if
  /// the service has too few slots to give every node a unit, or so many that a deal would hold the
  /// event loop up, see `Knobs::slot_share_work`.
  const std::vector<SlotShare>& shares_for(const std::string& service,
                                           const ReplicaDirectory& directory);
  /// @return this node's own slots, of the services that were asked for.
  int own_slots() const;
  /// @return nodes that share the replicas.
  std::size_t holders() const { return members_.size(); }

 private:
  struct Holder {
    std::uint64_t hash = 0;
    std::size_t zone = 0;  ///< Its place in `zones_`.
    bool own = false;
  };
  struct Assignment {
    std::uint64_t directory_revision = 0;  ///< That it was computed from.
    std::set<std::string> evacuated;       ///< Zones that were.
    std::vector<SlotShare> shares;
  };

  std::vector<SlotShare> assign_units(const std::vector<const Replica*>& replicas) const;

  const Knobs& knobs_;
  const std::string node_;
  std::vector<SlotHolder> members_;  ///< As they were given.
  std::vector<Holder> holders_;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, Assignment> assignments_;  ///< By service.
};

}  // namespace dockpoint
