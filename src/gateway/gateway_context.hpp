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
class StopAdmission;
class StreamOrigins;

/// Dependencies shared by the components of a gateway. Used only on the event loop's thread.
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
  std::string zone = {};  ///< Zone of this node.
  std::function<void()> announce_load =
      {};  ///< Sends this node's load to the other nodes immediately.
  /// @return control addresses of other nodes that can reach the log.
  std::function<std::vector<std::string>()> peers_reaching_log = {};
  /// Asks the node that runs a batch item on the replica, this node or a peer, to abort it in favor
  /// of an online request.
  std::function<void(const Replica&)> request_slot = {};
  /// @return time since the log last confirmed the configuration.
  std::function<Duration()> configuration_age = {};
  /// @return time since the log last confirmed the replicas' records.
  std::function<Duration()> replica_records_age = {};
  TenantRateLimiter* rate_limiter = nullptr;      ///< Null disables rate limiting.
  CrashWatch* crash_watch = nullptr;              ///< Null disables quarantine.
  const StopAdmission* stop_admission = nullptr;  ///< Null: this node never stops.
  /// Origins of the streams of all nodes; null: no stream is resumed across requests.
  StreamOrigins* stream_origins = nullptr;
};

/// @return the endpoint of a replica. Keyed by replica id as well as address, so that connections
/// are not reused after the replica restarts.
inline net::Endpoint endpoint_of(const ReplicaRecord& replica) {
  return {replica.address, replica.id};
}

}  // namespace dockpoint
