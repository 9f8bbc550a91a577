#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/streaming/stream_origin_table.hpp"

/// Datagrams in which nodes tell and ask each other the origins of streams.
namespace dockpoint {

/// Asks for the origin of a stream.
struct StreamOriginQuestion {
  StreamKey key;
  std::string service;  ///< Service of the route.
};

/// Answers a question if the origin is unknown; a known one is answered with a record.
struct StreamOriginUnknown {
  StreamKey key;
  /// Whether the sender has seen several software versions of the service.
  bool several_versions = false;
  /// Whether the sender knows streams of different origins under the key. Appended.
  bool contradictory = false;
};

/// One message. Messages may be lost, duplicated or delayed.
struct StreamOriginMessage {
  std::vector<StreamOriginRecord> records;
  std::vector<StreamOriginQuestion> questions;
  std::vector<StreamOriginUnknown> unknown;
};

/// Maximum records in one message, so that it fits into a datagram.
inline constexpr std::size_t kOriginsPerMessage = 40;

/// Encodes a message. The first byte distinguishes it from all other messages between nodes.
std::string encode(const StreamOriginMessage& message);

/// @return whether the bytes carry the tag of a stream origin message.
bool is_stream_origin_message(std::string_view bytes);

/// @return the message, or nothing if the bytes are malformed.
std::optional<StreamOriginMessage> decode_stream_origin_message(std::string_view bytes);

}  // namespace dockpoint
