#pragma once

#include <memory>
#include <string>

#include "dockpoint/config/fleet_config.hpp"
#include "dockpoint/core/time.hpp"

/// Small fleet configurations and time points for tests.
namespace dockpoint::test {

/// @return a configuration document with `engines` engines `engine-N` that serve the service `lm`.
std::string fleet_document(int engines, int slots, int partitions = 4);

/// @return the parsed configuration of `fleet_document`.
std::shared_ptr<const FleetConfig> make_fleet(int engines, int slots);

/// @return the time point `milliseconds` after the epoch of the clock.
TimePoint at(std::int64_t milliseconds);

}  // namespace dockpoint::test
