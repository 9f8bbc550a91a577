#include "dockpoint/membership/messages.hpp"

#include "dockpoint/core/codec.hpp"

namespace dockpoint {

std::string encode(const PeerMessage& message) {
  return pack(message);
}

std::optional<PeerMessage> decode_peer_message(std::string_view bytes) {
  if (bytes.size() > kMaximumDatagramBytes) {
    return std::nullopt;
  }
  std::optional<PeerMessage> message = unpack<PeerMessage>(bytes);
  if (message && message->version != kProtocolVersion) {
    return std::nullopt;
  }
  return message;
}

}  // namespace dockpoint
