#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace dockpoint {

/// Identifies one item of a job in a partition of this node.
struct ItemRef {
  int partition = 0;
  std::string job;
  std::uint32_t item = 0;
  friend bool operator==(const ItemRef&, const ItemRef&) = default;
  friend bool operator<(const ItemRef& left, const ItemRef& right) {
    return std::tie(left.partition, left.job, left.item) <
           std::tie(right.partition, right.job, right.item);
  }
};

}  // namespace dockpoint
