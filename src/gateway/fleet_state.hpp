#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/partitioned_log.hpp"

namespace dockpoint {

/// A replica's record as stored in the log.
struct StoredReplica {
  std::string id;
  std::string value;
  DOCKPOINT_FIELDS(id, value)
};

/// The fleet state that a node sends to a peer that asks for it: one that has just started, or that
/// is behind the others.
struct FleetState {
  std::uint64_t version = 0;  ///< Configuration version; 0: none.
  std::string configuration;  ///< The record's value.
  bool replicas_known = false;
  LogOffset replicas_position = 0;  ///< Offset up to which the replica records were read.
  std::vector<StoredReplica> replicas;
  std::map<int, std::string> owners;  ///< Control address of each partition's owner.
  LogOffset operator_position = 0;    ///< Offset up to which the operator's records were read.
  std::vector<std::string> evacuated_zones;
  DOCKPOINT_FIELDS(version, configuration, replicas_known, replicas_position, replicas, owners,
                   operator_position, evacuated_zones)
};

/// The version and log positions up to which a node knows the fleet.
struct FleetKnowledge {
  std::uint64_t version = 0;  ///< Configuration version; 0: none.
  bool replicas_known = false;
  LogOffset replicas_position = 0;
  LogOffset operator_position = 0;  ///< As in `FleetState`.
};

/// Path of the requests by which nodes ask each other for their fleet state.
inline constexpr std::string_view kFleetStatePath = "/dockpoint/state";

/// @return the request target for a node that already has `known`.
std::string fleet_state_target(const FleetKnowledge& known);
/// @return the knowledge of the requesting node; parameters missing from the target count as
/// unknown.
FleetKnowledge asker_knowledge(std::string_view target);
/// Drops the parts that the requesting node already has. Without this, every configuration change
/// would send a fleet of thousands of replicas in full.
void leave_out_known(FleetState& state, const FleetKnowledge& known);

}  // namespace dockpoint
