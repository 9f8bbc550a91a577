#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dockpoint {

/// Asks the node that runs a batch item at a replica to break it off: an online request was sent
/// there and would wait. It may be lost, and may find that the item has ended: nothing depends on
/// it but how long the request waits.
struct SlotRequest {
  std::uint32_t replica_key = 0;  ///< Of the replica in digests.
};

/// @return the bytes of a request; they never are those of another message between nodes.
std::string encode(const SlotRequest& request);

/// @return whether the bytes are meant as a request for a slot.
bool is_slot_request(std::string_view bytes);

/// @return the request, or nothing if the bytes are malformed.
std::optional<SlotRequest> decode_slot_request(std::string_view bytes);

}  // namespace dockpoint
