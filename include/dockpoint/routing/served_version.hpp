#pragma once

#include <compare>
#include <string>

namespace dockpoint {

/// A software version that replicas of a service run or ran. Opaque; versions have no order.
struct ServedVersion {
  std::string service;
  std::string version;
  friend auto operator<=>(const ServedVersion&, const ServedVersion&) = default;
};

}  // namespace dockpoint
