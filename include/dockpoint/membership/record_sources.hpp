#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/membership/member.hpp"

/// Selects where a node of a large fleet reads the fleet's records: the log or another node.
///
/// Every node follows the same topics, and after a restart of the whole fleet all nodes load them
/// at the same time. If each read from the log, the load on the log would be the number of nodes
/// times that of records. Instead, the nodes of a zone are ordered by a hash of their names, which
/// all nodes compute in the same way. The first two read from the log; some more, one for each
/// `kFanOut` nodes, read all records from those and relay them; every other node reads the records
/// it needs from one of these relays, in its own order by rendezvous hashing. So the log is read
/// twice per zone at any fleet size, only reads of the log cross zones, and a node serves some
/// dozens of others.
///
/// A source that does not answer is excluded for some seconds, one that refuses because it is
/// behind itself for a shorter time, and the next one is tried. Only when no source has answered
/// for a quarter to half of the bound on the age of a node's state does the node read from the log
/// itself. This delay differs from node to node, and doubles with each failure of the log: hundreds
/// of nodes that turned to the log while their sources are slow would slow down these sources
/// further. Without this limit, 986 nodes that each repeatedly requested the same 400 KB blocked
/// the log for more than 8 s.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordSources {
 public:
  /// Nodes per zone that read from the log: two, since one may be dead.
  static constexpr std::size_t kReaders = 2;
  /// Readers per relaying node. After a restart of the whole fleet its answers, 32 times 200 KB,
  /// take 1.7 s on the slowest link, 30 Mbit/s.
  static constexpr std::size_t kFanOut = 32;
  /// How long a source that did not answer is excluded: about the time until the membership
  /// protocol declares it dead.
  static constexpr Duration kExclusionTime = std::chrono::seconds(5);
  /// How long a source that refused is excluded.
  static constexpr Duration kRefusalRetryDelay = std::chrono::milliseconds(200);

  /// @param node,zone name and zone of this node.
  /// @param bound maximum permitted age of the node's fleet state.
  RecordSources(std::string node, std::string zone, Duration bound);

  /// Recomputes the sources.
  /// @param alive the live nodes, possibly with this one.
  void update(const std::vector<const Member*>& alive);

  /// @return control address of the node to read from, if a source is available.
  std::optional<std::string> next(TimePoint now);
  /// @return whether this node has no sources and thus always reads from the log.
  bool has_no_sources() const { return sources_.empty(); }
  /// @return whether the node may read from the log instead of from a source.
  bool may_read_log(TimePoint now) const;
  /// Excludes a source for a while, after a failed read.
  /// @param refused whether the source refused, rather than giving no usable answer.
  void failed(const std::string& address, bool refused, TimePoint now);
  /// Reports that records were received from a source or from the log.
  void succeeded(TimePoint now);
  /// Reports that the log refused a read or did not answer.
  void log_failed(TimePoint now);

  /// @return whether this node must hold all records because other nodes read from it.
  bool passes_on() const { return passes_on_; }

 private:
  const std::string node_;
  const std::string zone_;
  std::vector<std::string> sources_;   ///< Control addresses in order of preference.
  const Duration log_fallback_delay_;  ///< Time without an answer before the log is read.
  bool passes_on_ = true;
  TimePoint waiting_since_{};                        ///< Last success, or last failure of the log.
  int log_failures_ = 0;                             ///< Consecutive.
  std::map<std::string, TimePoint> excluded_until_;  ///< End of the exclusion, by source.
};

}  // namespace dockpoint
