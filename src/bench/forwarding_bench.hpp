#pragma once

#include <string>

#include "dockpoint/core/error.hpp"

namespace dockpoint::bench {

/// What the forwarding bench measures.
struct ForwardingOptions {
  std::string engine;  ///< `IP:port` of an engine, for the direct way.
  std::string node;    ///< `IP:port` of a node that serves the same engine.
  std::string model;
  int streams = 16;    ///< Requests at once.
  int requests = 400;  ///< On each way.
  int tokens = 32;
  int rounds = 4;  ///< The ways take turns, so that drift of the machine meets both.
};

/// Sends streamed requests straight to the engine and through the node, in turn, and prints times
/// to first token, requests a second, and the node's CPU time a request, as a table.
Result<void> run_forwarding_bench(const ForwardingOptions& options);

}  // namespace dockpoint::bench
