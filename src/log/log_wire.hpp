#pragma once

#include <cstdint>
#include <string>
#include <vector>
#include "dockpoint/core/codec.hpp"

namespace dockpoint {

/// Wire format of the answer to a read.
struct LogPageWire {
  std::uint64_t first = 0;
  std::vector<std::string> records;
  std::uint64_t end = 0;
  DOCKPOINT_FIELDS(first, records, end)
};

}  // namespace dockpoint
