#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "gateway/gateway_context.hpp"
#include "platform/traffic.hpp"

namespace dockpoint::test {

/// The objects that the components of a gateway share, for testing one component alone.
struct GatewaySurroundings {
  explicit GatewaySurroundings(const Knobs& node_knobs = {}) : knobs(node_knobs) {}

  Knobs knobs;
  boost::asio::io_context loop{1};
  net::HttpClient client{loop};
  platform::PlatformTraffic protocol;
  GatewayMetrics metrics;
  ReplicaDirectory directory{knobs};
  ReplicaSelector selector{knobs, directory, "zone-a", 1};
  GatewayContext context{loop,      knobs,    protocol, client,
                         directory, selector, metrics,  std::make_shared<RoutingConfiguration>(),
                         "node"};
};

}  // namespace dockpoint::test
