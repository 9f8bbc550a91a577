#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "dockpoint/admission/request_fingerprint.hpp"

namespace dockpoint {

/// What may be to blame if a replica crashes while it runs an online request.
struct RunSuspects {
  RequestFingerprint content;               ///< The whole request.
  std::vector<RequestFingerprint> parts{};  ///< Parts of its prompt that other requests share.
};

/// Identifies a prompt part for the replicas of one service: other services hold other weights. The
/// tenant is left out, since a part crashes replicas whoever sends it, and good runs of others
/// clear it.
RequestFingerprint fingerprint_of_part(std::string_view service, std::uint64_t part);

/// @param parts ids of the parts of a prompt, in order. @return the fingerprints of those that
/// requests share: all but the last, which is the request's own.
std::vector<RequestFingerprint> shared_parts(std::string_view service,
                                             const std::vector<std::uint64_t>& parts);

}  // namespace dockpoint
