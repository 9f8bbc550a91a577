#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/membership/member.hpp"
#include "dockpoint/routing/engine_load.hpp"

/// Datagrams between nodes.
///
/// Structs are msgpack arrays. A newer version may append fields: older readers ignore them, and
/// newer readers leave absent ones at their defaults. `kProtocolVersion` changes only when that is
/// not enough; a message of another version is dropped and counted.
namespace dockpoint {

inline constexpr std::uint8_t kProtocolVersion = 1;

/// Largest datagram that a node sends or takes, in bytes.
inline constexpr std::size_t kMaximumDatagramBytes = 8 * 1024;

enum class PeerMessageType : std::uint8_t {
  kPing = 0,
  kAck = 1,
  kPingRequest = 2,   ///< Ask the receiver to probe `target`.
  kSyncRequest = 3,   ///< Ask for all members.
  kSyncResponse = 4,  ///< A part of all members, in `updates`.
  kLoadDigest = 5,    ///< Load on its way down `tree`, in `digests`.
  kLeave = 6,         ///< The sender leaves; its own record stands in `updates`.
  kLoadToRoot = 7,    ///< Load of the sender's engines, for the root of `tree`.
};

/// One datagram.
struct PeerMessage {
  std::uint8_t version = kProtocolVersion;
  PeerMessageType type = PeerMessageType::kPing;
  std::uint64_t sequence = 0;  ///< Matches an ack to its ping.
  Member sender;
  Member target;  ///< Of a ping request.
  std::vector<Member> updates;
  std::uint64_t configuration_revision = 0;  ///< In force at the sender.
  std::uint32_t pending_batch_items = 0;     ///< The sender could dispatch now, if it had room.
  std::vector<EngineDigest> digests;
  bool log_reachable = true;  ///< The sender can read and append; otherwise it owns nothing.
  std::uint8_t tree = 0;      ///< Of load digests.
  DOCKPOINT_FIELDS(version, type, sequence, sender, target, updates, configuration_revision,
                   pending_batch_items, digests, log_reachable, tree)
};

/// @return the bytes of `message`.
std::string encode(const PeerMessage& message);

/// @return the message, or nothing if the bytes are malformed, too many or of another version.
std::optional<PeerMessage> decode_peer_message(std::string_view bytes);

}  // namespace dockpoint
