#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dockpoint/config/selector.hpp"
#include "dockpoint/core/error.hpp"

/// The configuration that operators publish. docs/CONFIGURATION.md describes it field by field.
namespace dockpoint {

/// One replica of a model on one or more accelerators.
struct EngineConfig {
  std::string name;
  std::string address;  ///< `IP:port` of the engine's HTTP interface.
  std::string model;
  Labels labels;
  int slots = 1;          ///< Sequences that the engine decodes concurrently.
  bool draining = false;  ///< Set by the operator: no new work.

  /// @return the label `zone`, or an empty string.
  std::string zone() const;
};

/// A service: the name that callers put into the `model` field, and the engines that may serve it.
struct ServiceConfig {
  std::string name;
  std::string model;  ///< Model that the engines must hold.
  Selector selector;
  int priority = 100;  ///< 0 (lowest) to 100; passed to engines for online requests.
};

/// Share and limits of one tenant. A tenant that is not listed has the defaults.
struct TenantConfig {
  std::string name;
  int weight = 1;
};

/// Limits that apply to each node.
struct LimitsConfig {
  int online_queue_per_node = 256;    ///< Requests waiting on one node.
  int retry_budget_percent = 20;      ///< Retries as a share of recent successes.
  int default_deadline_ms = 60'000;   ///< For requests that carry no deadline.
  int maximum_batch_items = 500'000;  ///< Items in one job.
  int batch_reserve_percent = 10;     ///< Slots of an engine that batch leaves free.
};

/// One whole, validated configuration.
struct FleetConfig {
  int partitions = 16;  ///< Job partitions; fixed for the life of the log.
  std::map<std::string, EngineConfig> engines;
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, TenantConfig> tenants;
  LimitsConfig limits;

  /// @return the service named `name`, or null.
  const ServiceConfig* find_service(const std::string& name) const;

  /// @return the weight of `tenant`, 1 if it is not listed.
  int tenant_weight(const std::string& tenant) const;

  /// @return whether `engine` may serve `service`.
  static bool eligible(const EngineConfig& engine, const ServiceConfig& service);
};

/// Parses and validates a document; the error names every fault with its place.
Result<FleetConfig> parse_fleet_config(const std::string& document);

}  // namespace dockpoint
