#pragma once

#include <memory>
#include <string>

#include "dockpoint/config/fleet_config.hpp"
#include "dockpoint/core/time.hpp"

/// Small configurations for tests.
namespace dockpoint::test {

/// @return a document with `engines` engines named `engine-N` that serve the service `lm`.
std::string fleet_document(int engines, int slots, int partitions = 4);

/// @return the same, parsed.
std::shared_ptr<const FleetConfig> make_fleet(int engines, int slots);

/// @return `milliseconds` after the start of time.
TimePoint at(std::int64_t milliseconds);

}  // namespace dockpoint::test
