#pragma once

#include <cstdint>
#include <string>
#include "dockpoint/core/codec.hpp"

namespace dockpoint {

/// State of a member, ordered: within one incarnation a higher state replaces a lower one.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

/// What is known of one node.
struct Member {
  std::string id;                 ///< Node name, unique in the fleet.
  std::uint64_t incarnation = 0;  ///< Set by the member itself; higher replaces lower.
  MemberState state = MemberState::kAlive;
  std::string peer_address;  ///< `IP:port` for datagrams between nodes.
  std::string api_address;   ///< `IP:port` of the HTTP interface.
  std::string zone;
  std::uint64_t run = 0;  ///< First incarnation of the process: tells a restart from a refutation.
  std::string control_address{};  ///< `IP:port` for calls between nodes; empty: the HTTP interface.
  DOCKPOINT_FIELDS(id, incarnation, state, peer_address, api_address, zone, run, control_address)
};

/// @return whether `update` says something newer than `known`.
inline bool supersedes(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

}  // namespace dockpoint
