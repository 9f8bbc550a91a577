#pragma once

#include <fmt/format.h>

#include <string>

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Retry-After of a node that is stopping: another node can serve the request at once.
inline constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(20);

/// @return the value of a `Retry-After` header: seconds with two decimals.
inline std::string retry_after_value(Duration pause) {
  return fmt::format("{:.2f}", std::chrono::duration<double>(pause).count());
}

}  // namespace dockpoint
