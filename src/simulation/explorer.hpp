#pragma once

#include <cstdint>

#include "simulation/scenario.hpp"

namespace dockpoint::simulation {

/// Generates a random deployment, load and fault schedule from a seed.
Scenario draw_scenario(std::uint64_t seed);

}  // namespace dockpoint::simulation
