#pragma once

#include <string>

#include "gateway/gateway.hpp"
#include "platform/fleet.hpp"
#include "platform/store_log.hpp"
#include "platform/traffic.hpp"
#include "platform/wire_names.hpp"

/// Complete gateways within the test process, on loopback addresses and one event loop.
namespace dockpoint::test {

inline constexpr const char* kRouteConfiguration = R"({"version":%V,"routeList":[
 {"name":"quick","host":"a.example","pathPrefix":"/quick/","type":"idempotent","timeoutMs":3000,
  "targetMs":300,"priority":0,"service":"lm","attempts":2},
 {"name":"batch","host":"a.example","pathPrefix":"/batch/","type":"batch","timeoutMs":3000,
  "targetMs":400,"completionTargetMs":20000,"retentionS":60,"priority":2,"service":"lm","attempts":3},
 {"name":"chat","host":"a.example","pathPrefix":"/chat/","type":"streaming","timeoutMs":3000,
  "targetMs":300,"priority":0,"service":"lm","attempts":2}],
 "services":[{"name":"lm","healthPath":"/healthz","maxConns":50,"engine":{"slots":4,
  "kvCacheTokens":1000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// @return a configuration with an idempotent, a batch and a streaming route to service `lm`.
inline std::string route_configuration(int version) {
  std::string text = kRouteConfiguration;
  return text.replace(text.find("%V"), 2, std::to_string(version));
}

/// A gateway together with the objects that it borrows.
struct GatewayNode {
  static constexpr std::uint16_t kStorePort = 28'201;
  static constexpr int kPartitions = 3;

  GatewayNode(boost::asio::io_context& loop, int number, std::uint16_t store_port = kStorePort)
      : client(loop),
        store(loop, client, {"127.0.0.1", store_port}, {kPartitions, 262'144, 2'097'152}),
        gateway(loop, client, knobs, settings(number),
                {store, traffic, traffic, fleet, platform::PlatformFleet::fleet_topics(),
                 platform::PlatformFleet::batch_topics(), platform::kQuarantineTopic,
                 platform::kVersionsTopic, &log}) {
    gateway.start();
  }

  static std::string address(int number, int port) {
    // Nodes differ by IP address and use the same ports, as on separate machines.
    return "127.0.0." + std::to_string(number) + ":" + std::to_string(28'300 + port);
  }
  static GatewaySettings settings(int number) {
    GatewaySettings settings;
    settings.node = "node-" + std::to_string(number);
    settings.seeds = {address(1, 3), address(2, 3)};
    settings.zone = "zone-a";
    settings.frontend_address = address(number, 0);
    settings.readiness_address = address(number, 1);
    settings.resolver_address = address(number, 2);
    settings.control_address = address(number, 3);
    settings.datagram_address = address(number, 4);
    settings.metrics_address = address(number, 5);
    settings.address_lifetime = std::chrono::seconds(1);
    settings.grace = std::chrono::seconds(4);
    return settings;
  }

  Knobs knobs;
  net::HttpClient client;
  platform::PlatformTraffic traffic;
  platform::PlatformFleet fleet;
  platform::StoreLog store;
  BoundedLog log{-1};
  Gateway gateway;
};

}  // namespace dockpoint::test
