#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario.hpp"
#include "simulation/world.hpp"

/// The properties that must always hold, each checked against what an observer saw and against a
/// naive reference: a fold of the log without epochs, checkpoints or indexes.
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

/// @return all properties, in the order of docs/PROOFS.md.
const std::vector<PropertyInfo>& property_table();

/// Runs the checks that the scenario asks for, or all.
std::vector<Violation> check_properties(World& world, const Scenario& scenario);

/// @return whether every accepted job has ended and every request was answered.
bool all_ended(World& world);

}  // namespace dockpoint::simulation
