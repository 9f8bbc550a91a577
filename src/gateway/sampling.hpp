#pragma once

#include <string_view>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

/// Ordinary successes are logged for one request in this many, the same ones at all nodes.
inline constexpr std::uint64_t kLogSampling = 16;

/// @return whether the lines of an ordinary request are logged.
inline bool is_sampled(std::string_view request_id) {
  return hash64(request_id) % kLogSampling == 0;
}

}  // namespace dockpoint
