#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/membership/member.hpp"

/// Selects the recipients of a node's load digests and the nodes that relay them.
///
/// In a small fleet every node sends its digests to all others. In a large fleet each digest would
/// cost a node as many datagrams as there are nodes. There, each zone has two relays: its live
/// nodes with the lowest hashes, which all nodes compute in the same way without communication. A
/// node sends its digests to the relays of its zone alternately. A relay collects digests for one
/// interval and sends the collection to all nodes of its zone and to one relay of every other zone,
/// which forwards it within that zone. So a digest reaches all nodes about one interval later, and
/// the cost grows linearly with the number of nodes instead of quadratically. If a relay dies,
/// every second digest still arrives, and the relay is replaced as soon as it counts as silent.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class LoadRelay {
 public:
  /// Largest fleet, in nodes, in which digests are sent directly to all nodes.
  static constexpr std::size_t kDirectNodes = 20;

  /// @param node,zone name and zone of this node.
  /// @param direct_limit largest fleet, in nodes, in which digests are sent directly to all nodes.
  LoadRelay(std::string node, std::string zone, std::size_t direct_limit = kDirectNodes);

  /// Recomputes the relays.
  /// @param members nodes that are alive and not silent, possibly with this one.
  void set_members(const std::vector<const Member*>& members);

  /// @return whether digests are sent directly to all nodes.
  bool direct() const { return direct_; }
  /// @return whether this node is a relay of its zone.
  bool relays() const;

  /// @return addresses that receive this node's next digest. With relays, an empty list means that
  /// this node is itself the relay selected for this digest.
  std::vector<std::string> next_digest_recipients();
  /// @return addresses that receive the next collection of this relay.
  std::vector<std::string> next_collection_recipients();
  /// @return addresses to which a relay forwards the collection of another zone.
  const std::vector<std::string>& zone_recipients() const { return zone_addresses_; }

 private:
  /// A relay of a zone; the zone's relays are ordered by `rank`, the hash of the node.
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
  std::vector<std::string> all_addresses_;            ///< All other nodes.
  std::vector<std::string> zone_addresses_;           ///< Other nodes of this node's zone.
  std::map<std::string, std::vector<Relay>> relays_;  ///< By zone.
  std::size_t digests_ = 0;
  std::size_t collections_ = 0;
};

}  // namespace dockpoint
