#pragma once

#include <fmt/format.h>

#include <string>

#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// @return the value of a `Retry-After` header: seconds with two decimals.
inline std::string retry_after_value(Duration pause) {
  return fmt::format("{:.2f}", std::chrono::duration<double>(pause).count());
}

}  // namespace dockpoint
