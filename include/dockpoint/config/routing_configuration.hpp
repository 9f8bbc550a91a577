#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/config/tenant_directory.hpp"
#include "dockpoint/core/time.hpp"

/// The operator's routes: which service answers which path of which host, and how.
namespace dockpoint {

/// How the requests of a route may be executed.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Answers with a series of events; runs at most once unless resumable.
  kBatch,          ///< Takes batch jobs.
};

/// One of the services that share a route.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route.
struct RouteConfig {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<WeightedService> services;  ///< Requests are distributed by weight.
  int attempts = 1;                       ///< Maximum replicas tried for one request.
  int priority = 0;                       ///< 0 is the most urgent.
  bool needs_key = true;                  ///< If tenants are configured, only they have access.
  bool resumable = false;                 ///< A broken stream may resume on another replica.
  Duration timeout{};                     ///< Maximum time that a request is held.
  Duration target{};                      ///< Latency objective: to the answer or the first event.
  Duration gap_target{};          ///< Longest pause between events that meets the objective.
  Duration completion_target{};   ///< Batch: from submission to the last result.
  Duration retention{};           ///< Batch: items may be abandoned after this time.
  double max_waiting_tokens = 0;  ///< Batch: of a tenant's unfinished items, over all nodes; 0: no
                                  ///< limit. Without tenants, of all callers together.

  /// @return whether a request may be sent again after it may have run.
  bool repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

/// One pool of replicas.
struct ReplicaServiceConfig {
  std::string name;
  std::string health_path;
  int maximum_connections = 0;     ///< Accepted by a replica from all callers; 0: unknown.
  int slots = 0;                   ///< Concurrent requests of a replica; 0: unknown.
  std::uint64_t cache_tokens = 0;  ///< Cache capacity of a replica; 0: not a model engine.
  double cold_per_second = 0;      ///< Request rate of a cold replica; 0: no stated limit.
};

/// What callers may send and how long connections may take.
struct IngressLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the operator's routes. Versions only increase.
struct RoutingConfiguration {
  std::uint64_t version = 0;  ///< 0: none is known yet.
  std::vector<RouteConfig> routes;
  std::map<std::string, ReplicaServiceConfig> services;
  IngressLimits limits;
  TenantDirectory tenants;

  /// @return the route of `host` with the longest prefix of `path`, or null.
  const RouteConfig* match(std::string_view host, std::string_view path) const;
};

/// Distributes requests of a route by weight with smooth weighted round robin, which keeps the
/// shares even over short runs. Not thread-safe.
class ServiceRotation {
 public:
  /// @param offset shifts the start of each route's sequence, so that nodes differ.
  explicit ServiceRotation(std::uint64_t offset = 0) : offset_(offset) {}

  /// @return the service for the next request of `route`, which must name at least one.
  const std::string& next(const RouteConfig& route);

 private:
  struct State {
    std::vector<WeightedService> services;  ///< That `credit` belongs to.
    std::vector<double> credit;
  };

  std::uint64_t offset_;
  std::map<std::string, State> routes_;
};

}  // namespace dockpoint
