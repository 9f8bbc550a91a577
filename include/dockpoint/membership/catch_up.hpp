#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/log/freshness_budget.hpp"

/// Decides when a node queries a peer for its fleet state, and which peer.
///
/// Every node follows the log by itself and advertises its read position in its digests. A node
/// queries
///
/// - a peer with a newer version of the configuration, immediately;
/// - a peer that has read further in the replicas' or the operator's records, if the node does not
///   catch up by itself within a short time, since the log reaches all nodes at almost the same
///   time;
/// - the other nodes in rotation while it does not follow the log: peers may have read the log
///   before, and a node that has just started may find the log unreachable.
///
/// At most one query is in flight. A query may go unanswered, so a node that is still behind
/// queries again at the next digest from a peer that is ahead.
namespace dockpoint {

/// Read position of a node: how current its fleet state is.
struct FleetPosition {
  std::uint64_t version = 0;           ///< Version of the configuration; 0: none.
  std::uint64_t replicas = 0;          ///< Offset up to which the replicas' records were read.
  std::uint64_t operator_records = 0;  ///< Offset up to which the operator's records were read.

  /// @return whether `other` has read further in either kind of records.
  bool behind(const FleetPosition& other) const {
    return replicas < other.replicas || operator_records < other.operator_records;
  }
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class CatchUp {
 public:
  /// @return addresses of the nodes that may be queried; with `own_zone` only those of this node's
  /// zone.
  using Candidates = std::function<std::vector<std::string>(bool own_zone)>;

  /// @param seed selects the first node of the rotation, so that nodes which query at the same
  /// time, after a restart of the whole fleet, spread their queries over different nodes.
  CatchUp(const FreshnessBudget& budget, std::uint64_t seed)
      : budget_(budget), next_candidate_(seed) {}

  /// Sets this node's own read position.
  void set_own_position(const FleetPosition& known);
  /// Records the read position that a peer at `address` has advertised.
  void record_peer_position(const FleetPosition& peer, const std::string& address, TimePoint now);
  /// Marks the query in flight as answered or abandoned.
  void query_finished() { query_in_flight_ = false; }
  /// @param follows whether this node follows the log.
  /// @return the address of the node to query now, if any; the query then counts as in flight.
  std::optional<std::string> next_peer_to_query(TimePoint now, bool follows,
                                                const Candidates& candidates);

 private:
  bool behind(TimePoint now) const;
  std::optional<std::string> rotate_candidate(const Candidates& candidates);

  const FreshnessBudget budget_;
  FleetPosition known_;
  FleetPosition furthest_peer_;  ///< Maximum over all advertised positions.
  std::string peer_ahead_;    ///< Last peer that advertised a newer position; empty once queried.
  TimePoint behind_since_{};  ///< When a peer was first found to have read further; zero: none.
  TimePoint next_rotation_at_{};
  std::uint64_t next_candidate_;
  std::uint64_t rotation_queries_ = 0;
  bool query_in_flight_ = false;
};

}  // namespace dockpoint
