#include "simulation/scale_run.hpp"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "simulation/world.hpp"

namespace dockpoint::simulation {
namespace {

constexpr double kSettleSeconds = 40;
constexpr double kConvergenceLimit = 60;
constexpr int kZones = 8;

double process_cpu_seconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

double resident_megabytes() {
  std::ifstream file("/proc/self/statm");
  long total_pages = 0;
  long resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages * sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

Duration to_duration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double now_seconds(World& world) {
  return std::chrono::duration<double>(world.events().now().time_since_epoch()).count();
}

/// Runs until `done`. @return the seconds that it took, or the limit.
template <class Condition>
double seconds_until(World& world, Condition done) {
  const double started = now_seconds(world);
  while (!done() && now_seconds(world) - started < kConvergenceLimit) {
    world.events().run_until(world.events().now() + to_duration(0.1));
  }
  return now_seconds(world) - started;
}

bool all_see(World& world, std::size_t members) {
  return std::all_of(world.nodes().begin(), world.nodes().end(), [&](const auto& entry) {
    return !entry.second->up() || entry.second->controller().membership().alive().size() == members;
  });
}

bool all_have_revision(World& world, std::uint64_t revision) {
  return std::all_of(world.nodes().begin(), world.nodes().end(), [&](const auto& entry) {
    return !entry.second->up() ||
           entry.second->controller().configuration().current().revision == revision;
  });
}

bool all_partitions_owned(World& world) {
  int owned = 0;
  for (const auto& [name, node] : world.nodes()) {
    owned += node->up() ? node->controller().owned_partitions() : 0;
  }
  return owned == world.deployment().partitions;
}

void run_size(int nodes, const ScaleOptions& options) {
  const double memory_before = resident_megabytes();
  Deployment deployment;
  deployment.nodes = nodes;
  deployment.engines = options.engines;
  deployment.zones = kZones;
  deployment.partitions = options.partitions;
  World world(deployment, {}, 7);
  world.start();
  world.events().run_until(TimePoint(to_duration(kSettleSeconds)));
  const double settled =
      kSettleSeconds + seconds_until(world, [&] {
        return all_see(world, static_cast<std::size_t>(nodes)) && all_partitions_owned(world);
      });
  const double memory = resident_megabytes() - memory_before;
  const std::uint64_t datagrams = world.network().datagrams();
  const std::uint64_t bytes = world.network().datagram_bytes();
  const double cpu = process_cpu_seconds();
  world.events().run_until(world.events().now() + to_duration(options.seconds));
  const double scale = nodes * options.seconds;
  const double datagram_rate = static_cast<double>(world.network().datagrams() - datagrams) / scale;
  const double byte_rate = static_cast<double>(world.network().datagram_bytes() - bytes) / scale;
  const double cpu_rate = (process_cpu_seconds() - cpu) / scale;
  world.apply_configuration("change", "node-1", -1);
  const double change = seconds_until(world, [&] { return all_have_revision(world, 2); });
  int left = nodes;
  for (const std::string& name : world.members_of("zone-1")) {
    if (SimNode* node = world.node(name)) {
      node->kill();
      --left;
    }
  }
  const double zone_loss =
      seconds_until(world, [&] { return all_see(world, static_cast<std::size_t>(left)); });
  const double takeover =
      zone_loss + seconds_until(world, [&] { return all_partitions_owned(world); });
  std::printf("%6d %9.1f %12.1f %11.2f %10.2f %10.2f %9.1f %10.1f %10.1f\n", nodes, datagram_rate,
              byte_rate / 1000, cpu_rate * 100, memory / nodes, change, settled, zone_loss,
              takeover);
  std::fflush(stdout);
}

}  // namespace

void run_scale(const ScaleOptions& options) {
  std::printf("%d engines, %d partitions; sent a node and second, simulated time in seconds\n",
              options.engines, options.partitions);
  std::printf("%6s %9s %12s %11s %10s %10s %9s %10s %10s\n", "nodes", "datagrams", "kB", "CPU %",
              "MB a node", "change", "settled", "zone lost", "taken over");
  for (const int nodes : options.nodes) {
    run_size(nodes, options);
  }
}

}  // namespace dockpoint::simulation
