#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario.hpp"
#include "simulation/world.hpp"

/// The invariants of the system, each checked against the observed history and against a reference
/// model that folds the log without epochs, checkpoints or indexes.
namespace dockpoint::simulation {

struct Violation {
  std::string property;
  std::string detail;
};

struct PropertyInfo {
  std::string name;
  std::string meaning;
  std::function<void(World&, const Scenario&, std::vector<Violation>&)> check;
};

/// @return all invariants, in the order of docs/PROOFS.md.
const std::vector<PropertyInfo>& property_table();

/// Runs the checks listed in the scenario, or all checks if it lists none.
std::vector<Violation> check_properties(World& world, const Scenario& scenario);

/// @return true if every accepted job has ended and every request was answered.
bool all_ended(World& world);

}  // namespace dockpoint::simulation
