#include "simulation/explorer.hpp"

#include "simulation/checkers.hpp"

#include <algorithm>
#include <random>

namespace dockpoint::simulation {
namespace {

constexpr double kFirstFault = 5.0;
constexpr double kLastFault = 40.0;
constexpr double kEnd = 60.0;

/// Random numbers from explicit arithmetic instead of standard distributions, so that a seed gives
/// the same scenario with every standard library.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : random_(seed) {}

  int between(int lowest, int highest) {
    const std::uint64_t span = static_cast<std::uint64_t>(highest - lowest) + 1;
    return lowest + static_cast<int>(random_() % span);
  }
  double seconds(double lowest, double highest) {
    return between(static_cast<int>(lowest * 1000), static_cast<int>(highest * 1000)) / 1000.0;
  }
  bool chance(int percent) { return between(0, 99) < percent; }

 private:
  std::mt19937_64 random_;
};

std::string node_name(SeededRandom& rng, const Deployment& deployment) {
  return "node-" + std::to_string(rng.between(1, deployment.nodes));
}

std::string engine_name(SeededRandom& rng, const Deployment& deployment) {
  return "engine-" + std::to_string(rng.between(1, deployment.engines));
}

std::string zone_name(SeededRandom& rng, const Deployment& deployment) {
  return "zone-" + std::to_string(rng.between(1, deployment.zones));
}

void add_jobs(SeededRandom& rng, Scenario& scenario) {
  const int jobs = rng.between(1, 5);
  for (int index = 0; index < jobs; ++index) {
    SubmitStep submit;
    submit.job = "job-" + std::to_string(index);
    submit.items = static_cast<std::uint32_t>(rng.between(1, 250));
    submit.tokens = rng.between(1, 60);
    submit.repeatable = !rng.chance(35);
    submit.tenant = rng.chance(50) ? "clinics" : "shops";
    submit.through = node_name(rng, scenario.deployment);
    const double at = rng.seconds(1, 30);
    scenario.steps.push_back({at, submit});
    if (rng.chance(40)) {
      scenario.steps.push_back(
          {at + rng.seconds(0, 15), ResendStep{submit.job, node_name(rng, scenario.deployment)}});
    }
    if (rng.chance(25)) {
      scenario.steps.push_back(
          {at + rng.seconds(0, 20), CancelStep{submit.job, node_name(rng, scenario.deployment)}});
    }
  }
}

void add_online_load(SeededRandom& rng, Scenario& scenario) {
  OnlineStep plain;
  plain.name = "plain";
  plain.rate = rng.between(1, 12);
  plain.seconds = 45;
  plain.tokens = rng.between(1, 40);
  scenario.steps.push_back({4.0, plain});
  OnlineStep once;
  once.name = "once";
  once.rate = rng.between(1, 4);
  once.seconds = 40;
  once.tokens = rng.between(1, 20);
  once.repeatable = false;
  once.keys = rng.chance(80);
  once.resend = once.keys && rng.chance(80);
  once.tenant = "clinics";
  scenario.steps.push_back({5.0, once});
}

void add_configuration_changes(SeededRandom& rng, Scenario& scenario) {
  const int races = rng.between(0, 3);
  for (int race = 0; race < races; ++race) {
    const double at = rng.seconds(4, 45);
    const int operators = rng.between(1, 3);
    for (int index = 0; index < operators; ++index) {
      scenario.steps.push_back(
          {at + rng.seconds(0, 0.05),
           ApplyStep{"race-" + std::to_string(race) + "-" + std::to_string(index),
                     node_name(rng, scenario.deployment), -1}});
    }
  }
}

void add_process_fault(SeededRandom& rng, Scenario& scenario) {
  const Deployment& deployment = scenario.deployment;
  const double at = rng.seconds(kFirstFault, kLastFault);
  const double until = at + rng.seconds(0.2, 15);
  const int kind = rng.between(0, 99);
  const auto add = [&](const char* begin, const char* end, const std::string& target,
                       double end_at) {
    scenario.steps.push_back({at, ProcessStep{begin, target}});
    scenario.steps.push_back({end_at, ProcessStep{end, target}});
  };
  if (kind < 30) {
    add("kill", "restart", node_name(rng, deployment), until);
  } else if (kind < 50) {
    add("freeze", "wake", node_name(rng, deployment), until);
  } else if (kind < 70) {
    add("kill", "restart", engine_name(rng, deployment), until);
  } else if (kind < 78) {
    add("kill", "restart", zone_name(rng, deployment), until);
  } else if (kind < 90) {
    add("drain", "restart", node_name(rng, deployment), until + 5);
  } else {
    scenario.steps.push_back({at, ProcessStep{"leave", engine_name(rng, deployment)}});
  }
}

void add_platform_fault(SeededRandom& rng, Scenario& scenario) {
  const Deployment& deployment = scenario.deployment;
  FaultStep fault;
  fault.kind = fault_kinds()[static_cast<std::size_t>(
      rng.between(0, static_cast<int>(fault_kinds().size()) - 1))];
  fault.value = rng.between(5, 40);
  if (fault.kind == "log_slow") {
    fault.value = rng.between(50, 1500);
  }
  if (fault.kind == "network_cut") {
    fault.from = rng.chance(50) ? zone_name(rng, deployment) : node_name(rng, deployment);
    fault.to = rng.chance(50) ? zone_name(rng, deployment) : node_name(rng, deployment);
    fault.both_ways = rng.chance(50);
  }
  if (fault.kind == "log_unreachable") {
    fault.target = node_name(rng, deployment);
  }
  scenario.steps.push_back({rng.seconds(kFirstFault, kLastFault), fault});
}

}  // namespace

Scenario draw_scenario(std::uint64_t seed) {
  SeededRandom rng(seed);
  Scenario scenario;
  scenario.name = "explore-" + std::to_string(seed);
  scenario.seed = seed;
  Deployment& deployment = scenario.deployment;
  deployment.nodes = rng.between(2, 6);
  deployment.engines = rng.between(2, 6);
  deployment.zones = rng.between(1, 3);
  deployment.slots = rng.between(4, 12);
  deployment.partitions = rng.between(1, 8);
  deployment.list_lag_ms = rng.between(0, 5000);
  deployment.clock_spread_percent = rng.chance(30) ? rng.between(1, 5) : 0;
  add_jobs(rng, scenario);
  add_online_load(rng, scenario);
  add_configuration_changes(rng, scenario);
  const int process_faults = rng.between(0, 5);
  for (int index = 0; index < process_faults; ++index) {
    add_process_fault(rng, scenario);
  }
  const int platform_faults = rng.between(0, 3);
  for (int index = 0; index < platform_faults; ++index) {
    add_platform_fault(rng, scenario);
  }
  if (rng.chance(50)) {
    scenario.steps.push_back({rng.seconds(kFirstFault, 55), HealStep{}});
  }
  std::stable_sort(scenario.steps.begin(), scenario.steps.end(),
                   [](const Step& left, const Step& right) { return left.at < right.at; });
  scenario.end = kEnd;
  // Under random load and faults, requests may legitimately be slow or refused. Latency and
  // refusals are checked by the scenarios written for them.
  for (const PropertyInfo& property : property_table()) {
    if (property.name != "online_before_batch" && property.name != "no_starvation" &&
        property.name != "refused_at_once") {
      scenario.checks.push_back(property.name);
    }
  }
  return scenario;
}

}  // namespace dockpoint::simulation
