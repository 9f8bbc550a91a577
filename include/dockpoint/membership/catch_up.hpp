#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/log/freshness_budget.hpp"

/// When a node asks another one what it knows of the fleet, and which one.
///
/// Every node follows the log by itself, and tells the others in its digests how far it has read. A
/// node asks
///
/// - one that knows a newer version of the configuration, at once;
/// - one that has read further in the replicas' or the operator's records, if it does not catch up
///   by itself within a short time: the log tells all nodes at almost the same time;
/// - any other one in turn, as long as it does not follow the log: peers may have read it, and a
///   node that has just started may find the log away.
///
/// One question is under way at a time. A question may go unanswered, so a node that is behind asks
/// again with the next digest of one that is ahead.
namespace dockpoint {

/// How far a node's knowledge of the fleet reaches.
struct FleetPosition {
  std::uint64_t version = 0;           ///< Of the configuration; 0: none.
  std::uint64_t replicas = 0;          ///< Offset up to which the replicas' records were read,
  std::uint64_t operator_records = 0;  ///< and those of the operator.

  /// @return whether less was read than `other` has read.
  bool behind(const FleetPosition& other) const {
    return replicas < other.replicas || operator_records < other.operator_records;
  }
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class CatchUp {
 public:
  /// @return addresses of the nodes that may be asked, those of the own zone alone if asked for.
  using Candidates = std::function<std::vector<std::string>(bool own_zone)>;

  /// @param seed decides with which node this one begins: after a restart of all, many ask at once.
  CatchUp(const FreshnessBudget& budget, std::uint64_t seed)
      : budget_(budget), next_candidate_(seed) {}

  /// How far this node's own knowledge reaches now.
  void set_own_position(const FleetPosition& known);
  /// Another node said how far its knowledge reaches.
  void record_peer_position(const FleetPosition& peer, const std::string& address, TimePoint now);
  /// The question under way was answered or given up.
  void query_finished() { query_in_flight_ = false; }
  /// @param follows whether this node follows the log.
  /// @return the address of the node to ask now, if any: the question counts as under way.
  std::optional<std::string> next_peer_to_query(TimePoint now, bool follows,
                                                const Candidates& candidates);

 private:
  bool behind(TimePoint now) const;
  std::optional<std::string> rotate_candidate(const Candidates& candidates);

  const FreshnessBudget budget_;
  FleetPosition known_;
  FleetPosition furthest_peer_;  ///< That any peer has told.
  std::string peer_ahead_;       ///< The peer that was last heard to be ahead; empty once asked.
  TimePoint behind_since_{};     ///< Peers have read further; zero: none.
  TimePoint next_rotation_at_{};
  std::uint64_t next_candidate_;
  std::uint64_t rotation_queries_ = 0;
  bool query_in_flight_ = false;
};

}  // namespace dockpoint
