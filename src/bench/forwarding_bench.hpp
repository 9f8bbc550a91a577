#pragma once

#include <string>

#include "dockpoint/core/error.hpp"

namespace dockpoint::bench {

/// Parameters of the forwarding benchmark.
struct ForwardingOptions {
  std::string engine;  ///< `IP:port` of an engine, for direct requests.
  std::string node;    ///< `IP:port` of a node that serves the same engine.
  std::string model;
  int streams = 16;    ///< Number of concurrent requests.
  int requests = 400;  ///< Number of requests per path, direct and forwarded.
  int tokens = 32;
  int rounds = 4;  ///< The paths alternate, so that drift of the machine affects both.
};

/// Alternates between streaming requests sent directly to the engine and through the node. Prints a
/// table of time to first token, requests per second and CPU time of the node per request.
Result<void> run_forwarding_bench(const ForwardingOptions& options);

}  // namespace dockpoint::bench
