#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "dockpoint/routing/load_digest.hpp"

/// Collects load digests for a relay and selects those to forward per interval, within a size
/// limit.
///
/// Every node heard from in the interval is listed as a heartbeat, at five bytes per node. Of the
/// digests, those that have waited longest are forwarded first, as many as fit; the rest wait for
/// the next interval, and a newer digest of a node replaces its waiting one. So a small fleet's
/// loads are forwarded every interval, while in a large fleet they are forwarded less often instead
/// of using more bandwidth.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class DigestCollector {
 public:
  /// @param zone zone of this node.
  explicit DigestCollector(std::string zone);

  /// Adds a digest received from a node of the zone.
  /// @param bytes the encoded digest, as received.
  void add(std::uint32_t node, bool log_reachable, std::string bytes);

  /// @param maximum_bytes size limit of the encoded collection; heartbeats may exceed it.
  /// @return the collection to forward now.
  LoadCollection next(std::size_t maximum_bytes);

  /// @return the number of waiting digests.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::uint64_t since = 0;  ///< Sequence number of the node's oldest digest not yet forwarded.
    std::string bytes;
  };

  const std::string zone_;
  /// Nodes heard from in this interval, and whether they reach the log.
  std::map<std::uint32_t, bool> heartbeats_;
  std::map<std::uint32_t, Waiting> waiting_;
  std::uint64_t added_ = 0;
};

}  // namespace dockpoint
