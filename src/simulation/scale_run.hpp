#pragma once

#include <vector>

namespace dockpoint::simulation {

/// A run of the control plane alone: hollow nodes, which serve nothing, share this process.
struct ScaleOptions {
  std::vector<int> nodes{50, 100, 200, 410};
  int engines = 730;
  int partitions = 1024;
  double seconds = 20;  ///< Simulated, measured after the nodes have settled.
};

/// Runs each size and prints, a node: datagrams and bytes a second, CPU time a second, memory, and
/// how long a zone's loss and a configuration change take to be known everywhere.
void run_scale(const ScaleOptions& options);

}  // namespace dockpoint::simulation
