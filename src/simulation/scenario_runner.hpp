#pragma once

#include <string>
#include <vector>

#include "simulation/checkers.hpp"

namespace dockpoint::simulation {

/// Result of a scenario run.
struct RunReport {
  std::vector<Violation> violations;
  std::uint64_t digest = 0;  ///< Hash of the whole history; identical runs have equal digests.
  double simulated_seconds = 0;
  std::uint64_t events = 0;
  std::size_t engine_starts = 0;
  std::vector<std::string> lines;  ///< The history, if requested.
};

struct RunOptions {
  Mechanisms mechanisms;
  bool keep_lines = false;
};

/// Runs a scenario to its end, ends all faults, waits for the system to settle and checks the
/// invariants.
RunReport run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace dockpoint::simulation
