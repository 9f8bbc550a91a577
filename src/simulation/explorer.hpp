#pragma once

#include <cstdint>

#include "simulation/scenario.hpp"

namespace dockpoint::simulation {

/// Draws a deployment, a load and a schedule of faults from a seed.
Scenario draw_scenario(std::uint64_t seed);

}  // namespace dockpoint::simulation
