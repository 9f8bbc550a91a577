#pragma once

#include <string>
#include <vector>

#include "simulation/checkers.hpp"

namespace dockpoint::simulation {

/// What a run of a scenario showed.
struct RunReport {
  std::vector<Violation> violations;
  std::uint64_t digest = 0;  ///< Of the whole history; equal runs have equal digests.
  double simulated_seconds = 0;
  std::uint64_t events = 0;
  std::size_t engine_starts = 0;
  std::vector<std::string> lines;  ///< The history, if it was asked for.
};

struct RunOptions {
  Mechanisms mechanisms;
  bool keep_lines = false;
};

/// Runs a scenario to its end, heals everything, lets it settle and checks the properties.
RunReport run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace dockpoint::simulation
