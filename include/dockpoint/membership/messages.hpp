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
/// newer readers leave absent ones at their defaults. `kProtocolVersion` changes only for
/// incompatible changes; a message of another version is dropped and counted.
namespace dockpoint {

inline constexpr std::uint8_t kProtocolVersion = 1;

/// Largest datagram that a node sends or accepts, in bytes.
inline constexpr std::size_t kMaximumDatagramBytes = 8 * 1024;

enum class PeerMessageType : std::uint8_t {
  kPing = 0,
  kAck = 1,
  kPingRequest = 2,   ///< Asks the receiver to probe `target`.
  kSyncRequest = 3,   ///< Requests the records of all members.
  kSyncResponse = 4,  ///< Some of the member records, in `updates`.
  kLoadDigest = 5,    ///< Load sent down `tree`, in `digests`.
  kLeave = 6,         ///< The sender leaves; its own record is in `updates`.
  kLoadToRoot = 7,    ///< Load of the sender's engines, sent to the root of `tree`.
};

/// One datagram.
struct PeerMessage {
  std::uint8_t version = kProtocolVersion;
  PeerMessageType type = PeerMessageType::kPing;
  std::uint64_t sequence = 0;  ///< Correlates an ack with its ping.
  Member sender;
  Member target;  ///< Member to ping, in a ping request.
  std::vector<Member> updates;
  std::uint64_t configuration_revision = 0;  ///< Revision in force at the sender.
  std::uint32_t pending_batch_items =
      0;  ///< Items that the sender could dispatch if slots were free.
  std::vector<EngineDigest> digests;
  bool log_reachable = true;  ///< The sender can read and append to the log;
                              ///< otherwise it owns no partitions.
  std::uint8_t tree = 0;      ///< Tree of the load digests.
  DOCKPOINT_FIELDS(version, type, sequence, sender, target, updates, configuration_revision,
                   pending_batch_items, digests, log_reachable, tree)
};

/// @return the encoded message.
std::string encode(const PeerMessage& message);

/// @return the message, or nothing if it is malformed, too large or of another version.
std::optional<PeerMessage> decode_peer_message(std::string_view bytes);

}  // namespace dockpoint
