#pragma once

#include <string_view>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

/// One in this many ordinary requests is logged; all nodes sample the same request ids.
inline constexpr std::uint64_t kLogSampling = 16;

/// @return whether log lines are written for an ordinary request.
inline bool is_sampled(std::string_view request_id) {
  return hash64(request_id) % kLogSampling == 0;
}

}  // namespace dockpoint
