#pragma once

#include <cstdint>
#include <string>
#include "dockpoint/core/codec.hpp"

namespace dockpoint {

/// State of a member, ordered: within one incarnation a higher state replaces a lower one.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

/// What a node's build understands, a bit each. Something new between nodes takes effect only where
/// all members state that they know it: while builds are replaced, old and new ones run side by
/// side.
enum class Capability : std::uint32_t {
  kCells = 1,         ///< Load is told within cells, see membership/cell.hpp.
  kRecords = 2,       ///< Answers reads of the fleet's records, see membership/record_sources.hpp.
  kCrashReports = 4,  ///< Takes word of requests that crash replicas, see crash_report_spread.hpp.
};

/// Those of this build.
inline constexpr std::uint32_t kAllCapabilities =
    static_cast<std::uint32_t>(Capability::kCells) |
    static_cast<std::uint32_t>(Capability::kRecords) |
    static_cast<std::uint32_t>(Capability::kCrashReports);

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
  std::uint32_t capabilities =
      0;  ///< See `Capability`; a build that does not know them drops them.
  DOCKPOINT_FIELDS(id, incarnation, state, peer_address, api_address, zone, run, control_address,
                   capabilities)

  bool is_capable_of(Capability capability) const {
    return (capabilities & static_cast<std::uint32_t>(capability)) != 0;
  }
};

/// @return whether `update` says something newer than `known`.
inline bool supersedes(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.state != known.state) {
    return update.state > known.state;
  }
  return update.capabilities > known.capabilities;  // Word of it came through an older build.
}

}  // namespace dockpoint
