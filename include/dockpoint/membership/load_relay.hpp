#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/membership/member.hpp"

/// Who is told of a node's load, and who passes it on.
///
/// In a small fleet everybody tells everybody. In a larger one that would cost every node as many
/// datagrams a digest as there are nodes. There each zone has two relays, its live nodes with the
/// lowest hashes, which all nodes compute alike without talking. A node tells the relays of its
/// zone in turn. A relay collects for one interval and sends the collection to all of its zone and
/// to one relay of every other zone, which passes it on to its own zone. So a digest is known
/// everywhere about an interval later, at a cost that grows with the nodes and not with their
/// square. If a relay dies, every second digest still arrives, and its place is taken as soon as it
/// counts as silent.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class LoadRelay {
 public:
  /// Nodes up to which everybody tells everybody.
  static constexpr std::size_t kDirectNodes = 20;

  /// @param node,zone of this node.
  /// @param most_direct nodes up to which everybody tells everybody.
  LoadRelay(std::string node, std::string zone, std::size_t direct_limit = kDirectNodes);

  /// Takes the nodes that are alive and not silent; this node may be among them.
  void set_members(const std::vector<const Member*>& members);

  /// @return whether everybody tells everybody.
  bool direct() const { return direct_; }
  /// @return whether this node is a relay of its zone.
  bool relays() const;

  /// @return addresses that are told of this node's load this time. With relays, an empty list says
  /// that this node is the relay whose turn it is.
  std::vector<std::string> next_digest_recipients();
  /// @return addresses that get what this relay has collected this time.
  std::vector<std::string> next_collection_recipients();
  /// @return addresses that get what a relay of another zone has collected.
  const std::vector<std::string>& zone_recipients() const { return zone_addresses_; }

 private:
  /// Relays of a zone in order; hash, address and node.
  struct Relay {
    std::uint64_t rank = 0;
    std::string node;
    std::string address;
  };
  static constexpr std::size_t kRelaysOfZone = 2;

  const std::string node_;
  const std::string zone_;
  const std::size_t direct_limit_;
  bool direct_ = true;
  std::vector<std::string> all_addresses_;            ///< Without this node.
  std::vector<std::string> zone_addresses_;           ///< Of this node's zone, without this node.
  std::map<std::string, std::vector<Relay>> relays_;  ///< By zone.
  std::size_t digests_ = 0;
  std::size_t collections_ = 0;
};

}  // namespace dockpoint
