#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/membership/membership.hpp"

/// Distributes the engines' load to all nodes within a bandwidth budget.
///
/// If every steward sent its digests to every node, the datagrams in the fleet would grow with the
/// square of its nodes. Instead, digests are distributed over a fixed number of trees of the live
/// nodes. Each tree orders the nodes by a different hash, so that a node near the root of one tree
/// is usually near the leaves of another. A steward sends an engine's load to the root of the
/// engine's tree; the root collects digests and sends them down; every node forwards them
/// immediately to its two children. So a node receives each engine's load once per interval and
/// sends it once on average.
///
/// The interval grows with the number of engines to stay within the budget. While a node is dead
/// and membership has not yet detected it, its subtree receives no digests of that tree; load that
/// is too old is ignored, and the engines' own answers provide fresher load meanwhile.
namespace dockpoint {

/// Sends and forwards load digests along the trees. Not thread-safe; borrows membership and sender.
class DigestRelay {
 public:
  DigestRelay(const Knobs& knobs, Membership& membership, PeerSender& sender);

  /// Sends the load of this node's own engines to the roots of their trees.
  void publish(const std::vector<EngineDigest>& digests);

  /// Collects or forwards the digests of a message.
  void receive(const PeerMessage& message);

  /// Sends the collected digests down the trees of which this node is the root; call often.
  /// @param engines number of engines in the fleet, which determines the interval.
  void tick(std::size_t engines, TimePoint now);

  /// @return the time between two digests of one engine.
  Duration interval(std::size_t engines) const;

 private:
  using Tree = std::uint8_t;

  void rebuild_trees();
  Tree tree_of(const EngineDigest& digest) const;
  void collect(Tree tree, const EngineDigest& digest);
  void send_to_children(Tree tree, const std::vector<EngineDigest>& digests);
  void send(const std::string& member, PeerMessageType type, Tree tree,
            const std::vector<EngineDigest>& digests);

  const Knobs& knobs_;
  Membership& membership_;
  PeerSender& sender_;
  std::uint64_t members_version_ = 0;
  std::vector<std::vector<std::string>> trees_;  ///< Node ids in tree order, the root first.
  std::vector<std::size_t> positions_;           ///< Position of this node in each tree.
  std::vector<std::map<std::uint32_t, EngineLoad>> collected_;
  TimePoint next_flush_{};
};

}  // namespace dockpoint
