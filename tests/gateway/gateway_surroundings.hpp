#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "gateway/gateway_context.hpp"
#include "platform/traffic.hpp"

namespace dockpoint::test {

/// The objects that the components of a gateway share, for testing one component alone.
struct GatewaySurroundings {
  explicit GatewaySurroundings(const Knobs& node_knobs = {}, std::string name = "node",
                               std::string zone = {})
      : knobs(node_knobs), node(std::move(name)), node_zone(std::move(zone)) {}

  Knobs knobs;
  std::string node;
  std::string node_zone;
  boost::asio::io_context loop{1};
  net::HttpClient client{loop};
  platform::PlatformTraffic protocol;
  GatewayMetrics metrics;
  ReplicaDirectory directory{knobs};
  ReplicaSelector selector{knobs, directory, "zone-a", 1};
  GatewayContext context{loop,      knobs,    protocol, client,
                         directory, selector, metrics,  std::make_shared<RoutingConfiguration>(),
                         node,      node_zone};
};

}  // namespace dockpoint::test
