#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dockpoint/admission/caller_identity.hpp"
#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "dockpoint/core/error.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/routing/cold_replica_limiter.hpp"

namespace dockpoint {

/// Settings of a gateway, as its settings file gives them (docs/SETTINGS.md).
struct GatewaySettings {
  std::string node;
  std::string zone;
  std::string region;

  // Addresses, `IP:port`.
  std::string frontend_address;    ///< For callers.
  std::string readiness_address;   ///< For readiness checks.
  std::string resolver_address;    ///< For callers that ask for addresses.
  std::string control_address;     ///< For calls between nodes.
  std::string datagram_address;    ///< For messages between nodes.
  std::string metrics_address;     ///< For metrics; empty: none.
  std::vector<std::string> seeds;  ///< Control addresses of other nodes.

  std::string log_address;  ///< Of the service that holds the log.
  LogLimits log;

  Duration address_lifetime{};  ///< Longest time that callers may keep an answer of the resolver.
  Duration grace{};             ///< From the order to stop to the end.

  RevocationPolicy revocation;
  RateWindow rate_window;  ///< In which the rate limits of tenants hold.

  ColdBound cold_bound;  ///< On what replicas get that have just started.

  Knobs knobs;  ///< With the changes of an experiment, if the file asks for one.
};

/// Reads and checks a settings file.
/// @return the settings, or an error that names every problem.
Result<GatewaySettings> load_gateway_settings(const std::string& path);

/// Reads settings from the text of a file.
Result<GatewaySettings> parse_gateway_settings(const std::string& text);

}  // namespace dockpoint
