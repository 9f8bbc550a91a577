#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "simulation/world.hpp"

/// The scenario language: a scenario is a text file with one JSON object per line. Each object
/// holds a verb and its arguments. docs/SCENARIOS.md describes the verbs.
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
  double rate = 10;     ///< Requests per second.
  double seconds = 10;  ///< Duration of the load.
  int tokens = 16;
  std::string tenant = "default";
  bool repeatable = true;
  bool keys = false;    ///< Each request carries an idempotency key.
  bool resend = false;  ///< Callers resend requests that were not answered.
  int deadline_ms = 60'000;
  std::string through = "all";
};
struct ApplyStep {
  std::string tag;
  std::string through = "node-1";
  std::int64_t base = -1;
};
/// Applies `kill`, `restart`, `freeze`, `wake`, `drain` or `leave` to a node, an engine or all
/// processes of a zone.
struct ProcessStep {
  std::string action;
  std::string target;
};
/// Injects a fault of the platform or the network; see `fault_kinds`.
struct FaultStep {
  std::string kind;
  int value = 0;     ///< Percent or milliseconds.
  std::string from;  ///< Source of a network cut: a process or a zone.
  std::string to;
  bool both_ways = false;
  std::string target;  ///< Node that cannot reach the log, for `log_unreachable`.
};
struct HealStep {};
/// Checks the status of a job, or the configuration revision applied by a node.
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
  double end = 60;                  ///< Seconds until all faults are ended.
  double settle = 180;              ///< Maximum seconds after that until all work has ended.
  std::vector<std::string> checks;  ///< Properties to check; all if empty.
  /// Mechanisms whose removal must make this scenario fail.
  std::vector<std::string> fails_without;
};

/// Parses a scenario. The error message names the line and the offending verb or argument.
Result<Scenario> parse_scenario(const std::string& name, const std::string& text);

/// Reads a scenario file.
Result<Scenario> load_scenario(const std::string& path);

/// @return the scenario in the format that `parse_scenario` reads.
std::string to_text(const Scenario& scenario);

/// @return all values of `FaultStep::kind`.
const std::vector<std::string>& fault_kinds();

}  // namespace dockpoint::simulation
