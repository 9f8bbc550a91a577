#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dockpoint {

/// Asks the node that runs a batch item at a replica to preempt it, because an online request was
/// sent there and would wait. The message is best effort: it may be lost or arrive after the item
/// has ended, which only affects how long the request waits.
struct SlotRequest {
  std::uint32_t replica_key = 0;  ///< Key of the replica in load digests.
};

/// @return the encoded request, which no other message between nodes can be confused with.
std::string encode(const SlotRequest& request);

/// @return whether the bytes carry the tag of a slot request.
bool is_slot_request(std::string_view bytes);

/// @return the request, or nothing if the bytes are malformed.
std::optional<SlotRequest> decode_slot_request(std::string_view bytes);

}  // namespace dockpoint
