#include "dockpoint/config/fleet_config.hpp"

#include <set>

#include "dockpoint/core/address.hpp"

namespace dockpoint {
namespace {

constexpr int kMaximumPartitions = 4096;
constexpr int kMaximumSlots = 4096;
constexpr int kMaximumWeight = 1000;

Labels read_labels(ObjectReader reader) {
  Labels labels;
  for (const std::string& label : reader.keys()) {
    labels[label] = reader.required_text(label);
  }
  return labels;
}

EngineConfig read_engine(ObjectReader& reader) {
  EngineConfig engine;
  engine.name = reader.required_text("name");
  engine.address = reader.required_text("address");
  engine.model = reader.required_text("model");
  engine.labels = read_labels(reader.object("labels"));
  engine.slots = static_cast<int>(reader.required_integer("slots", {1, kMaximumSlots}));
  engine.draining = reader.boolean("draining", false);
  reader.reject_unknown_keys();
  return engine;
}

ServiceConfig read_service(ObjectReader& reader) {
  ServiceConfig service;
  service.name = reader.required_text("name");
  service.model = reader.required_text("model");
  service.selector = Selector::read(reader.object("selector"));
  service.priority = static_cast<int>(reader.integer("priority", {0, 100}, service.priority));
  reader.reject_unknown_keys();
  return service;
}

TenantConfig read_tenant(ObjectReader& reader) {
  TenantConfig tenant;
  tenant.name = reader.required_text("name");
  tenant.weight = static_cast<int>(reader.integer("weight", {1, kMaximumWeight}, 1));
  reader.reject_unknown_keys();
  return tenant;
}

LimitsConfig read_limits(ObjectReader reader) {
  LimitsConfig limits;
  const auto read = [&reader](const char* key, IntegerRange range, int& field) {
    field = static_cast<int>(reader.integer(key, range, field));
  };
  read("online_queue_per_node", {1, 100'000}, limits.online_queue_per_node);
  read("retry_budget_percent", {0, 100}, limits.retry_budget_percent);
  read("default_deadline_ms", {1, 3'600'000}, limits.default_deadline_ms);
  read("maximum_batch_items", {1, 1'000'000}, limits.maximum_batch_items);
  read("batch_reserve_percent", {0, 100}, limits.batch_reserve_percent);
  reader.reject_unknown_keys();
  return limits;
}

/// Reads an array of named entries and rejects duplicate names.
template <class Entry, class Read>
std::map<std::string, Entry> read_named(ObjectReader& root, const std::string& key, Read read) {
  std::map<std::string, Entry> entries;
  for (ObjectReader& reader : root.objects(key)) {
    Entry entry = read(reader);
    const std::string name = entry.name;
    if (!name.empty() && !entries.emplace(name, std::move(entry)).second) {
      reader.report("name", "is \"" + name + "\", which stands twice");
    }
  }
  return entries;
}

void check_addresses(const FleetConfig& config, Problems& problems) {
  std::set<std::string> seen;
  for (const auto& [name, engine] : config.engines) {
    const std::string place = "engines[" + name + "].address";
    if (!Address::parse(engine.address)) {
      problems.push_back({place, "is \"" + engine.address + "\"; IP:port is expected"});
    }
    if (!seen.insert(engine.address).second) {
      problems.push_back({place, "is \"" + engine.address + "\", which another engine has"});
    }
  }
}

void check_services(const FleetConfig& config, Problems& problems) {
  for (const auto& [name, service] : config.services) {
    bool served = false;
    for (const auto& [engine_name, engine] : config.engines) {
      served = served || FleetConfig::eligible(engine, service);
    }
    if (!served) {
      problems.push_back({"services[" + name + "].selector", "matches no engine of its model"});
    }
  }
}

}  // namespace

std::string EngineConfig::zone() const {
  const auto label = labels.find("zone");
  return label == labels.end() ? std::string{} : label->second;
}

const ServiceConfig* FleetConfig::find_service(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

int FleetConfig::tenant_weight(const std::string& tenant) const {
  const auto found = tenants.find(tenant);
  return found == tenants.end() ? 1 : found->second.weight;
}

bool FleetConfig::eligible(const EngineConfig& engine, const ServiceConfig& service) {
  return engine.model == service.model && service.selector.matches(engine.labels);
}

Result<FleetConfig> parse_fleet_config(const std::string& document) {
  BOOST_LEAF_AUTO(object, parse_json_object(document));
  Problems problems;
  ObjectReader root(object, "", problems);
  FleetConfig config;
  config.partitions =
      static_cast<int>(root.integer("partitions", {1, kMaximumPartitions}, config.partitions));
  config.engines = read_named<EngineConfig>(root, "engines", read_engine);
  config.services = read_named<ServiceConfig>(root, "services", read_service);
  config.tenants = read_named<TenantConfig>(root, "tenants", read_tenant);
  config.limits = read_limits(root.object("limits"));
  root.reject_unknown_keys();
  if (problems.empty()) {
    check_addresses(config, problems);
    check_services(config, problems);
  }
  if (!problems.empty()) {
    return fail(ResultCode::kConfigurationInvalid, summarize(problems), problems.front().place);
  }
  return config;
}

}  // namespace dockpoint
