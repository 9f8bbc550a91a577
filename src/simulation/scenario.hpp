#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "simulation/world.hpp"

/// The test language: a scenario is a text file with one JSON object a line, each a verb with its
/// arguments. docs/SCENARIOS.md describes the verbs.
namespace dockpoint::simulation {

struct SubmitStep {
  std::string job;
  std::uint32_t items = 100;
  int tokens = 16;
  bool repeatable = true;
  std::string tenant = "default";
  int priority = 0;
  std::int64_t window_seconds = 86'400;
  std::string through = "node-1";
};
struct ResendStep {
  std::string job;
  std::string through;
};
struct CancelStep {
  std::string job;
  std::string through = "node-1";
};
struct OnlineStep {
  std::string name = "online";
  double rate = 10;     ///< Requests a second.
  double seconds = 10;  ///< For so long.
  int tokens = 16;
  std::string tenant = "default";
  bool repeatable = true;
  bool keys = false;    ///< Each request carries an idempotency key.
  bool resend = false;  ///< Callers resend what was not answered.
  int deadline_ms = 60'000;
  std::string through = "all";
};
struct ApplyStep {
  std::string tag;
  std::string through = "node-1";
  std::int64_t base = -1;
};
/// `kill`, `restart`, `freeze`, `wake`, `drain` or `leave`, of a node, an engine or a zone.
struct ProcessStep {
  std::string action;
  std::string target;
};
/// A fault of the platform or the network; see `fault_kinds`.
struct FaultStep {
  std::string kind;
  int value = 0;     ///< Percent or milliseconds.
  std::string from;  ///< Of a cut: a process or a zone.
  std::string to;
  bool both_ways = false;
  std::string target;  ///< Of a log that one node cannot reach.
};
struct HealStep {};
/// Expects a job's status, or the revision in force on a node.
struct ExpectStep {
  std::string job;
  std::string status;
  std::string node;
  std::int64_t revision = 0;
};

using StepAction = std::variant<SubmitStep, ResendStep, CancelStep, OnlineStep, ApplyStep,
                                ProcessStep, FaultStep, HealStep, ExpectStep>;

struct Step {
  double at = 0;  ///< Seconds.
  StepAction action;
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  Deployment deployment;
  std::vector<Step> steps;
  double end = 60;                  ///< Seconds; then everything is healed.
  double settle = 180;              ///< Longest time after that until all has ended.
  std::vector<std::string> checks;  ///< Properties to check; empty: all.
  /// Mechanisms without which this scenario must fail.
  std::vector<std::string> fails_without;
};

/// Parses a scenario. The error names line, verb and argument.
Result<Scenario> parse_scenario(const std::string& name, const std::string& text);

/// Reads a scenario file.
Result<Scenario> load_scenario(const std::string& path);

/// @return the scenario as text that `parse_scenario` reads.
std::string to_text(const Scenario& scenario);

/// @return the kinds of `fault`.
const std::vector<std::string>& fault_kinds();

}  // namespace dockpoint::simulation
