#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/partitioned_log.hpp"

namespace dockpoint {

/// A replica's record as it lies in the log.
struct StoredReplica {
  std::string id;
  std::string value;
  DOCKPOINT_FIELDS(id, value)
};

/// What one node tells another that asks for it: at its start, or behind the others.
struct FleetState {
  std::uint64_t version = 0;  ///< Of the configuration; 0: none.
  std::string configuration;  ///< The record's value.
  bool replicas_known = false;
  LogOffset replicas_position = 0;  ///< Offset up to which the replicas' records were read.
  std::vector<StoredReplica> replicas;
  std::map<int, std::string> owners;  ///< Control addresses of the owners of partitions.
  LogOffset operator_position = 0;    ///< Offset up to which the operator's records were read.
  std::vector<std::string> evacuated_zones;
  DOCKPOINT_FIELDS(version, configuration, replicas_known, replicas_position, replicas, owners,
                   operator_position, evacuated_zones)
};

/// How far a node's knowledge of the fleet reaches.
struct FleetKnowledge {
  std::uint64_t version = 0;  ///< Of the configuration; 0: none.
  bool replicas_known = false;
  LogOffset replicas_position = 0;
  LogOffset operator_position = 0;  ///< As in `FleetState`.
};

/// Path of the question that nodes ask each other.
inline constexpr std::string_view kFleetStatePath = "/dockpoint/state";

/// @return the target of the question of a node that knows so much.
std::string fleet_state_target(const FleetKnowledge& known);
/// @return what the node that asks knows already; nothing as far as the target does not tell.
FleetKnowledge asker_knowledge(std::string_view target);
/// Drops what a node that knows so much need not be told: a fleet of thousands of replicas would
/// otherwise be sent whole for each change of the configuration.
void leave_out_known(FleetState& state, const FleetKnowledge& known);

}  // namespace dockpoint
