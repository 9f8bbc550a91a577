#include "dockpoint/routing/slot_request.hpp"

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

/// First byte of a request; in MessagePack a message between nodes never begins with it.
constexpr char kTag = '\xc3';

struct Wire {
  std::uint32_t replica_key = 0;
  DOCKPOINT_FIELDS(replica_key)
};

}  // namespace

std::string encode(const SlotRequest& request) {
  return kTag + pack(Wire{request.replica_key});
}

bool is_slot_request(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kTag;
}

std::optional<SlotRequest> decode_slot_request(std::string_view bytes) {
  if (!is_slot_request(bytes)) {
    return std::nullopt;
  }
  const auto wire = unpack<Wire>(bytes.substr(1));
  return wire ? std::optional(SlotRequest{wire->replica_key}) : std::nullopt;
}

}  // namespace dockpoint
