#include "gateway/gateway_settings.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "dockpoint/core/knob_table.hpp"
#include "dockpoint/log/freshness_budget.hpp"

namespace dockpoint {
namespace {

constexpr std::int64_t kMaxLeaseMs = 60'000;
constexpr std::int64_t kMaxPartitions = 4'096;
constexpr std::int64_t kMaxBytes = 1'000'000'000;
constexpr double kDefaultAddressLifetimeSeconds = 2;
constexpr double kDefaultGraceSeconds = 10;
constexpr std::int64_t kDefaultFreshnessMs = 2'000;
constexpr std::int64_t kMaxFreshnessMs = 600'000;
constexpr std::int64_t kMaxRevocationMs = 600'000;
constexpr double kDefaultRateWindowSeconds = 5;
constexpr std::int64_t kMinClientBufferBytes = 1024 * 1024;
constexpr std::int64_t kMaxClientConnections = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr std::int64_t kMaxDescriptors = 10'000'000;
constexpr std::uint64_t kBytesOfMb = 1024 * 1024;

std::string read_address(ObjectReader& section, const std::string& key, bool required) {
  const std::string text = required ? section.required_text(key) : section.text(key);
  if (!text.empty() && !Address::parse(text)) {
    section.report(key, "is \"" + text + "\"; IP:port with a port from 1 to 65535 is expected");
  }
  return text;
}

Duration read_seconds(ObjectReader& section, const std::string& key, double default_value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(section.number(key, 0.0, default_value)));
}

/// @return the shorter of the two bounds on the age of the data that a node acts on: configuration
/// and drain state.
Duration read_freshness_bound(ObjectReader& times) {
  constexpr std::int64_t kMinFreshnessMs = to_ms(FreshnessBudget::kShortestBound);
  const auto bound = [&](const char* key) {
    return times.integer(key, {kMinFreshnessMs, kMaxFreshnessMs}, kDefaultFreshnessMs);
  };
  const std::int64_t configuration = bound("configuration_in_force_ms");
  const std::int64_t drain = bound("drain_known_ms");
  return std::chrono::milliseconds(std::min(configuration, drain));
}

void read_tenant_settings(ObjectReader& tenants, GatewaySettings& settings) {
  settings.revocation.strict = tenants.boolean("strict_revocation", settings.revocation.strict);
  settings.revocation.bound = std::chrono::milliseconds(
      tenants.integer("revocation_ms", {1, kMaxRevocationMs}, to_ms(settings.revocation.bound)));
  RateWindow& window = settings.rate_window;
  window.length = read_seconds(tenants, "rate_window_s", kDefaultRateWindowSeconds);
  window.overage = tenants.number("rate_overage", 0.0, window.overage);
  window.slack = tenants.number("rate_slack", 0.0, window.slack);
}

MachineResources read_machine(ObjectReader& machine) {
  const std::int64_t memory_mb = machine.integer("memory_mb", {0, kMaxMemoryMb}, 0);
  const std::int64_t descriptors = machine.integer("descriptors", {0, kMaxDescriptors}, 0);
  return {static_cast<std::uint64_t>(memory_mb) * kBytesOfMb,
          static_cast<std::size_t>(descriptors)};
}

void read_client_limits(ObjectReader& clients, ClientLimits& limits) {
  limits.buffer_bytes =
      static_cast<std::uint64_t>(clients.integer("buffer_bytes", {kMinClientBufferBytes, kMaxBytes},
                                                 static_cast<std::int64_t>(limits.buffer_bytes)));
  limits.connections = static_cast<std::size_t>(clients.integer(
      "connections", {0, kMaxClientConnections}, static_cast<std::int64_t>(limits.connections)));
}

void read_experiment(ObjectReader& section, Knobs& knobs) {
  for (const std::string& name : section.keys()) {
    const double value = section.number(name, 0.0, 0.0);
    if (!set_knob(knobs, name, value)) {
      section.report(name, "is no knob that an experiment may change");
    }
  }
}

GatewaySettings read_settings(const Poco::JSON::Object::Ptr& document, Problems& problems) {
  GatewaySettings settings;
  ObjectReader root(document, "", problems);
  settings.node = root.required_text("node");
  settings.zone = root.text("zone");
  settings.region = root.text("region");
  settings.seeds = root.texts("seeds");
  for (const std::string& seed : settings.seeds) {
    if (!Address::parse(seed)) {
      root.report("seeds", "holds \"" + seed + "\"; IP:port is expected");
    }
  }
  ObjectReader listen = root.object("listen");
  settings.frontend_address = read_address(listen, "frontend", true);
  settings.readiness_address = read_address(listen, "readiness", true);
  settings.resolver_address = read_address(listen, "resolver", true);
  settings.control_address = read_address(listen, "control", true);
  settings.datagram_address = read_address(listen, "datagrams", true);
  settings.metrics_address = read_address(listen, "metrics", false);
  listen.reject_unknown_keys();
  ObjectReader log = root.object("log");
  settings.log_address = read_address(log, "address", true);
  settings.log.partitions =
      static_cast<int>(log.required_integer("partitions", {1, kMaxPartitions}));
  settings.log.record_bytes =
      static_cast<std::size_t>(log.required_integer("record_bytes", {1024, kMaxBytes}));
  settings.log.call_bytes =
      static_cast<std::size_t>(log.required_integer("call_bytes", {1024, kMaxBytes}));
  settings.log.minimum_lease =
      std::chrono::milliseconds(log.integer("minimum_lease_ms", {1, kMaxLeaseMs}, 1'000));
  log.reject_unknown_keys();
  ObjectReader times = root.object("times");
  settings.address_lifetime =
      read_seconds(times, "address_lifetime_s", kDefaultAddressLifetimeSeconds);
  settings.grace = read_seconds(times, "grace_s", kDefaultGraceSeconds);
  settings.knobs.freshness_bound = read_freshness_bound(times);
  times.reject_unknown_keys();
  ObjectReader tenants = root.object("tenants");
  read_tenant_settings(tenants, settings);
  tenants.reject_unknown_keys();
  ObjectReader machine = root.object("machine");
  settings.client_limits = limits_for(read_machine(machine));
  machine.reject_unknown_keys();
  ObjectReader clients = root.object("clients");
  read_client_limits(clients, settings.client_limits);
  clients.reject_unknown_keys();
  ObjectReader cold = root.object("cold_replicas");
  settings.cold_bound.overage = cold.number("overage", 0.0, settings.cold_bound.overage);
  settings.cold_bound.slack = cold.number("slack", 0.0, settings.cold_bound.slack);
  cold.reject_unknown_keys();
  ObjectReader experiment = root.object("experiment");
  read_experiment(experiment, settings.knobs);
  root.reject_unknown_keys();
  return settings;
}

}  // namespace

Result<GatewaySettings> parse_gateway_settings(const std::string& text) {
  BOOST_LEAF_AUTO(document, parse_json_object(text));
  Problems problems;
  GatewaySettings settings = read_settings(document, problems);
  if (!problems.empty()) {
    return fail(ResultCode::kSettingsInvalid, summarize(problems), problems.front().place);
  }
  return settings;
}

Result<GatewaySettings> load_gateway_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(ResultCode::kSettingsInvalid, "cannot read the settings file", path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_gateway_settings(text.str());
}

}  // namespace dockpoint
