#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/membership/membership.hpp"

/// Spreads the engines' load over the nodes within a budget of bytes.
///
/// Sent by every steward to every node, digests cost a node as many datagrams as there are nodes,
/// squared over the fleet. Instead there are a few fixed trees over the live nodes, ordered by a
/// hash that differs from tree to tree, so that whoever stands high in one stands low in another.
/// A steward sends an engine's load to the root of the engine's tree; the root collects and sends
/// it down; every node passes it on at once to its two children. So a node receives each engine's
/// load once an interval and sends it once on average.
///
/// The interval grows with the number of engines to keep to the budget. A node that died leaves
/// its subtree without news of that tree until membership notices; load that is too old is not
/// believed, and engines' own answers bring fresher load meanwhile.
namespace dockpoint {

/// Load digests on their way through the trees. Not thread-safe; borrows membership and sender.
class DigestRelay {
 public:
  DigestRelay(const Knobs& knobs, Membership& membership, PeerSender& sender);

  /// Sends this node's own engines' load to the roots.
  void publish(const std::vector<EngineDigest>& digests);

  /// Passes on what a message carries.
  void receive(const PeerMessage& message);

  /// As root, sends down what was collected; call often.
  /// @param engines in the fleet, for the interval.
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
  std::vector<std::vector<std::string>> trees_;  ///< Node ids by position; the root first.
  std::vector<std::size_t> positions_;           ///< Of this node in each tree.
  std::vector<std::map<std::uint32_t, EngineLoad>> collected_;
  TimePoint next_flush_{};
};

}  // namespace dockpoint
