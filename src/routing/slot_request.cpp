#include "dockpoint/routing/slot_request.hpp"

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

/// First byte of a slot request: `true` in MessagePack, with which no other message between nodes
/// begins.
constexpr char kSlotRequestTag = '\xc3';

struct SlotRequestWire {
  std::uint32_t replica_key = 0;
  DOCKPOINT_FIELDS(replica_key)
};

}  // namespace

std::string encode(const SlotRequest& request) {
  return kSlotRequestTag + pack(SlotRequestWire{request.replica_key});
}

bool is_slot_request(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kSlotRequestTag;
}

std::optional<SlotRequest> decode_slot_request(std::string_view bytes) {
  if (!is_slot_request(bytes)) {
    return std::nullopt;
  }
  const auto wire = unpack<SlotRequestWire>(bytes.substr(1));
  return wire ? std::optional(SlotRequest{wire->replica_key}) : std::nullopt;
}

}  // namespace dockpoint
