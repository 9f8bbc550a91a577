#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "dockpoint/config/routing_configuration.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "dockpoint/routing/replica_selector.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/traffic_protocol.hpp"
#include "net/http_client.hpp"

namespace dockpoint {

class CrashWatch;

/// What the parts of a gateway share. All of it lives on the event loop's thread.
struct GatewayContext {
  boost::asio::io_context& loop;
  const Knobs& knobs;
  const TrafficProtocol& protocol;
  net::HttpClient& client;
  ReplicaDirectory& replicas;
  ReplicaSelector& selector;
  GatewayMetrics& metrics;
  std::shared_ptr<const RoutingConfiguration> configuration;  ///< Never null.
  std::string node;
  std::string zone = {};                     ///< Of this node.
  std::function<void()> announce_load = {};  ///< Tells the other nodes of this node's load now.
  /// @return control addresses of other nodes that reach the log.
  std::function<std::vector<std::string>()> peers_reaching_log = {};
  /// Asks whoever runs a batch item at a replica to break it off for an online request.
  std::function<void(const Replica&)> request_slot = {};
  /// @return time since the log last confirmed the replicas' records.
  std::function<Duration()> replica_records_age = {};
  TenantRateLimiter* rate_limiter = nullptr;  ///< Null: no tenant is limited.
  CrashWatch* crash_watch = nullptr;          ///< Null: no request is quarantined.
};

/// @return the endpoint of a replica; connections are not shared between its lives.
inline net::Endpoint endpoint_of(const ReplicaRecord& replica) {
  return {replica.address, replica.id};
}

}  // namespace dockpoint
