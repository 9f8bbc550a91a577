/// `dockpoint-sim`: runs scenarios and explores fault schedules in simulated time.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "simulation/explorer.hpp"
#include "simulation/scenario_runner.hpp"

namespace {

using namespace dockpoint;
using namespace dockpoint::simulation;

constexpr const char* kUsage =
    "Usage: dockpoint-sim run FILE ... [OPTION ...]\n"
    "       dockpoint-sim pairs FILE ...\n"
    "       dockpoint-sim explore --seeds A-B [OPTION ...]\n"
    "       dockpoint-sim properties | mechanisms\n"
    "\n"
    "run checks each scenario; pairs also checks that it fails without each mechanism that it\n"
    "names; explore draws deployments, loads and faults from seeds.";

struct SimOptions {
  Mechanisms mechanisms;
  bool trace = false;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 100;
  int threads = 4;
  std::string failures_folder;
};

void print_violations(const std::string& name, const std::vector<Violation>& violations) {
  for (const Violation& violation : violations) {
    std::printf("%s: %s: %s\n", name.c_str(), violation.property.c_str(), violation.detail.c_str());
  }
}

std::optional<Scenario> load_or_report(const std::string& path) {
  std::optional<Scenario> scenario;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(scenario, load_scenario(path));
    return {};
  });
  if (error) {
    std::fprintf(stderr, "error: %s\n", error->message.c_str());
  }
  return scenario;
}

int run_files(const std::vector<std::string>& paths, const SimOptions& options) {
  int failed = 0;
  for (const std::string& path : paths) {
    const std::optional<Scenario> scenario = load_or_report(path);
    if (!scenario) {
      return kExitSettings;
    }
    const RunReport report = run_scenario(*scenario, RunOptions{options.mechanisms, options.trace});
    for (const std::string& line : report.lines) {
      std::printf("%s\n", line.c_str());
    }
    print_violations(path, report.violations);
    std::printf("%s: %s (%.0f s simulated, %zu starts, digest %016llx)\n", path.c_str(),
                report.violations.empty() ? "passed" : "FAILED", report.simulated_seconds,
                report.engine_starts, static_cast<unsigned long long>(report.digest));
    failed += report.violations.empty() ? 0 : 1;
  }
  return failed == 0 ? kExitOk : kExitFailure;
}

/// Runs each scenario with all mechanisms, then once per required mechanism with it disabled.
int run_pairs(const std::vector<std::string>& paths) {
  int failed = 0;
  for (const std::string& path : paths) {
    const std::optional<Scenario> scenario = load_or_report(path);
    if (!scenario) {
      return kExitSettings;
    }
    const RunReport whole = run_scenario(*scenario, {});
    print_violations(path, whole.violations);
    failed += whole.violations.empty() ? 0 : 1;
    std::printf("%s: %s with all mechanisms\n", path.c_str(),
                whole.violations.empty() ? "passed" : "FAILED");
    for (const std::string& name : scenario->fails_without) {
      RunOptions options;
      if (!switch_off(options.mechanisms, name)) {
        std::fprintf(stderr, "error: %s: no mechanism is named %s\n", path.c_str(), name.c_str());
        return kExitSettings;
      }
      const RunReport without = run_scenario(*scenario, options);
      const bool fails = !without.violations.empty();
      std::printf("%s: without %s: %s\n", path.c_str(), name.c_str(),
                  fails ? ("fails as it should: " + without.violations.front().property + ": " +
                           without.violations.front().detail)
                              .c_str()
                        : "PASSED, so the scenario shows nothing");
      failed += fails ? 0 : 1;
    }
  }
  return failed == 0 ? kExitOk : kExitFailure;
}

int explore(const SimOptions& options) {
  std::atomic<std::uint64_t> next{options.first_seed};
  std::atomic<int> failed{0};
  std::mutex print_mutex;
  double simulated = 0;
  const auto started = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= options.last_seed; seed = next++) {
      const Scenario scenario = draw_scenario(seed);
      const RunReport report = run_scenario(scenario, RunOptions{options.mechanisms, false});
      const std::lock_guard<std::mutex> lock(print_mutex);
      simulated += report.simulated_seconds;
      if (report.violations.empty()) {
        continue;
      }
      ++failed;
      print_violations("seed " + std::to_string(seed), report.violations);
      if (!options.failures_folder.empty()) {
        const std::string path = options.failures_folder + "/" + scenario.name + ".jsonl";
        std::ofstream(path) << to_text(scenario);
        std::printf("seed %llu: written to %s\n", static_cast<unsigned long long>(seed),
                    path.c_str());
      }
    }
  };
  {
    std::vector<std::jthread> workers;
    workers.reserve(static_cast<std::size_t>(options.threads));
    for (int index = 0; index < options.threads; ++index) {
      workers.emplace_back(work);
    }
  }
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  const std::uint64_t seeds = options.last_seed - options.first_seed + 1;
  std::printf("%s seeds, %d failed, %.1f simulated hours in %.0f s (%.2f simulated hours/s)\n",
              std::to_string(seeds).c_str(), failed.load(), simulated / 3600, elapsed,
              simulated / 3600 / elapsed);
  return failed == 0 ? kExitOk : kExitFailure;
}

void parse_seeds(const std::string& text, SimOptions& options) {
  const std::size_t dash = text.find('-');
  constexpr int kLargestSeed = 2'000'000'000;
  options.first_seed = static_cast<std::uint64_t>(
      parse_option_integer("seeds", text.substr(0, dash), 0, kLargestSeed));
  options.last_seed = dash == std::string::npos
                          ? options.first_seed
                          : static_cast<std::uint64_t>(parse_option_integer(
                                "seeds", text.substr(dash + 1), 0, kLargestSeed));
}

}  // namespace

int main(int argc, char** argv) {
  SimOptions options;
  const std::vector<CommandOption> table{
      {"without", "MECHANISM", "Switch a mechanism off; may be given again.",
       [&](const std::string& name) {
         if (!switch_off(options.mechanisms, name)) {
           usage_error("no mechanism is named \"" + name + "\"; see dockpoint-sim mechanisms");
         }
       }},
      {"trace", "", "run: print the history.", [&](const std::string&) { options.trace = true; }},
      {"seeds", "A-B", "explore: seeds to draw from (1-100).",
       [&](const std::string& text) { parse_seeds(text, options); }},
      {"threads", "N", "explore: seeds at once (4).",
       [&](const std::string& text) {
         options.threads = parse_option_integer("threads", text, 1, 64);
       }},
      {"failures", "FOLDER", "explore: write a scenario for each seed that fails.",
       [&](const std::string& text) { options.failures_folder = text; }},
  };
  std::vector<std::string> arguments = parse_command_line(argc, argv, kUsage, table);
  if (arguments.empty()) {
    usage_error("a command is required; see --help");
  }
  const std::string command = arguments.front();
  arguments.erase(arguments.begin());
  if (command == "run" || command == "pairs") {
    if (arguments.empty()) {
      usage_error(command + " needs at least one scenario file");
    }
    return command == "run" ? run_files(arguments, options) : run_pairs(arguments);
  }
  if (command == "explore") {
    return explore(options);
  }
  if (command == "properties") {
    for (const PropertyInfo& property : property_table()) {
      std::printf("%-22s %s\n", property.name.c_str(), property.meaning.c_str());
    }
    return kExitOk;
  }
  if (command == "mechanisms") {
    for (const MechanismInfo& mechanism : mechanism_table()) {
      std::printf("%s\n", std::string(mechanism.name).c_str());
    }
    return kExitOk;
  }
  usage_error("unknown command \"" + command + "\"; see --help");
}
