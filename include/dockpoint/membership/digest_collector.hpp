#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "dockpoint/routing/load_digest.hpp"

/// What a relay passes on each interval, in a bounded number of bytes.
///
/// Every node that was heard is named, for its heartbeat, at five bytes a node. Of the digests
/// those go first that have waited longest, as many as fit; the rest wait for the next interval,
/// and a newer digest of the same node takes the place of the older one. So a small fleet's loads
/// are passed on every interval, and in a large one they come less often instead of costing more.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class DigestCollector {
 public:
  /// @param zone of this node.
  explicit DigestCollector(std::string zone);

  /// Takes a digest that a node of the zone has sent.
  /// @param bytes as they were received.
  void add(std::uint32_t node, bool log_reachable, std::string bytes);

  /// @param maximum_bytes of the encoded collection; heartbeats may exceed it.
  /// @return what to pass on now.
  LoadCollection next(std::size_t maximum_bytes);

  /// @return digests that wait.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::uint64_t since = 0;  ///< Number of the first digest that was not passed on.
    std::string bytes;
  };

  const std::string zone_;
  std::map<std::uint32_t, bool>
      heartbeats_;  ///< In this interval; whether the node reaches the log.
  std::map<std::uint32_t, Waiting> waiting_;
  std::uint64_t added_ = 0;
};

}  // namespace dockpoint
