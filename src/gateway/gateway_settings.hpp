#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dockpoint/admission/caller_identity.hpp"
#include "dockpoint/admission/client_budget.hpp"
#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "dockpoint/core/error.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/routing/cold_replica_limiter.hpp"

namespace dockpoint {

/// Settings of a gateway, read from its settings file (docs/SETTINGS.md).
struct GatewaySettings {
  std::string node;
  std::string zone;
  std::string region;

  // Addresses, `IP:port`.
  std::string frontend_address;    ///< Requests of callers.
  std::string readiness_address;   ///< Readiness checks.
  std::string resolver_address;    ///< Resolver queries for frontend addresses.
  std::string control_address;     ///< HTTP calls between nodes.
  std::string datagram_address;    ///< Datagrams between nodes.
  std::string metrics_address;     ///< Metrics endpoint; disabled if empty.
  std::vector<std::string> seeds;  ///< Control addresses of other nodes.

  std::string log_address;  ///< Address of the log service.
  LogLimits log;

  Duration address_lifetime{};  ///< Maximum time that callers may cache a resolver answer.
  Duration grace{};             ///< Maximum time from the stop request to the exit of the process.

  RevocationPolicy revocation;
  RateWindow rate_window;  ///< Window over which the tenants' rate limits are enforced.

  ClientLimits client_limits;  ///< Limits on what clients make the node hold.

  ColdBound cold_bound;  ///< Bound on the requests sent to replicas that have just started.

  Knobs knobs;  ///< Includes the overrides of the file's `experiment` section.
};

/// Reads and validates a settings file.
/// @return the settings, or an error that lists every problem.
Result<GatewaySettings> load_gateway_settings(const std::string& path);

/// Parses and validates the content of a settings file.
Result<GatewaySettings> parse_gateway_settings(const std::string& text);

}  // namespace dockpoint
