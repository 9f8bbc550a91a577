#include "node/settings.hpp"

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

/// Value of an address that is not used.
constexpr const char* kNone = "none";

constexpr int kMegabyte = 1024 * 1024;
constexpr int kLargestFile = 2'000'000'000;
const std::vector<std::string> kLogLevels{"debug", "info", "warn", "error"};

/// Stores a flag's value in the document, converted to the type of its key.
void apply_override(Poco::JSON::Object::Ptr root, const std::string& key, const std::string& text) {
  const std::size_t dot = key.find('.');
  Poco::JSON::Object::Ptr section = root;
  if (dot != std::string::npos) {
    const std::string name = key.substr(0, dot);
    if (!root->isObject(name)) {
      root->set(name, Poco::JSON::Object::Ptr(new Poco::JSON::Object));
    }
    section = root->getObject(name);
  }
  const std::string leaf = dot == std::string::npos ? key : key.substr(dot + 1);
  if (leaf == "seeds") {
    Poco::JSON::Array::Ptr seeds = new Poco::JSON::Array;
    std::istringstream list(text);
    for (std::string seed_address; std::getline(list, seed_address, ',');) {
      seeds->add(seed_address);
    }
    section->set(leaf, seeds);
    return;
  }
  std::int64_t number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool numeric_key = key.starts_with("threads.") || key.starts_with("limits.");
  if (numeric_key && error == std::errc{} && stop == text.data() + text.size()) {
    section->set(leaf, number);
  } else {
    section->set(leaf, text);
  }
}

std::string read_address(ObjectReader& section, const std::string& key) {
  const std::string text = section.required_text(key);
  if (!text.empty() && !Address::parse(text)) {
    section.report(key, "is \"" + text + "\"; IP:port with a port from 1 to 65535 is expected");
  }
  return text;
}

void check_distinct(const Settings& settings, Problems& problems) {
  std::map<std::string, std::string> seen;
  const auto check = [&](const std::string& key, const std::string& address) {
    const auto [other, inserted] = seen.emplace(address, key);
    if (!inserted) {
      problems.push_back(
          {key, "is \"" + address + "\", but " + other->second + " has the same address"});
    }
  };
  check("listen.api", settings.api_address);
  check("listen.peer", settings.peer_address);
  if (!settings.health_address.empty()) {
    check("listen.health", settings.health_address);
  }
  check("platform.log", settings.log_address);
  check("platform.machines", settings.machines_address);
  std::set<std::string> seeds;
  for (const std::string& seed : settings.seeds) {
    if (!Address::parse(seed)) {
      problems.push_back({"seeds", "holds \"" + seed + "\"; IP:port is expected"});
    }
    if (!seeds.insert(seed).second) {
      problems.push_back({"seeds", "contains \"" + seed + "\" more than once"});
    }
  }
}

Settings read_settings(Poco::JSON::Object::Ptr document, Problems& problems) {
  Settings settings;
  ObjectReader root(document, "", problems);
  ObjectReader node = root.object("node");
  settings.node_name = node.required_text("name");
  settings.zone = node.required_text("zone");
  node.reject_unknown_keys();
  ObjectReader listen = root.object("listen");
  settings.api_address = read_address(listen, "api");
  settings.peer_address = read_address(listen, "peer");
  const std::string health = listen.text("health");
  if (!health.empty() && health != kNone) {
    settings.health_address = read_address(listen, "health");
  }
  listen.reject_unknown_keys();
  ObjectReader platform = root.object("platform");
  settings.log_address = read_address(platform, "log");
  settings.machines_address = read_address(platform, "machines");
  platform.reject_unknown_keys();
  settings.seeds = root.texts("seeds");
  ObjectReader threads = root.object("threads");
  settings.http_threads =
      static_cast<int>(threads.integer("http", {4, 10'000}, settings.http_threads));
  settings.batch_threads =
      static_cast<int>(threads.integer("batch", {1, 4'096}, settings.batch_threads));
  threads.reject_unknown_keys();
  ObjectReader limits = root.object("limits");
  settings.maximum_body_bytes = static_cast<int>(
      limits.integer("body_bytes", {1024, 64 * kMegabyte}, settings.maximum_body_bytes));
  settings.maximum_bodies_bytes = static_cast<int>(
      limits.integer("bodies_bytes", {1024, kLargestFile}, settings.maximum_bodies_bytes));
  settings.maximum_file_bytes = static_cast<int>(
      limits.integer("file_bytes", {1024, kLargestFile}, settings.maximum_file_bytes));
  settings.drain_seconds =
      static_cast<int>(limits.integer("drain_seconds", {0, 3'600}, settings.drain_seconds));
  limits.reject_unknown_keys();
  ObjectReader log = root.object("log");
  settings.log_level = log.choice("level", kLogLevels, settings.log_level);
  log.reject_unknown_keys();
  root.reject_unknown_keys();
  return settings;
}

}  // namespace

const std::vector<SettingInfo>& setting_table() {
  static const std::vector<SettingInfo> table{
      {"node.name", "node-name", "", "Name of this node, unique in the fleet."},
      {"node.zone", "zone", "", "Zone that this node is in."},
      {"listen.api", "listen-api", "", "IP:port of the HTTP interface."},
      {"listen.peer", "listen-peer", "", "IP:port for datagrams between nodes (UDP)."},
      {"listen.health", "listen-health", kNone,
       "IP:port that serves /livez, /readyz and /metrics alone, which clients cannot exhaust."},
      {"platform.log", "platform-log", "", "IP:port of the platform's log."},
      {"platform.machines", "platform-machines", "", "IP:port of the platform's machine list."},
      {"seeds", "seeds", "[]", "Peer addresses of other nodes to contact first."},
      {"threads.http", "threads-http", "512", "Connections served at once, 4 to 10000."},
      {"threads.batch", "threads-batch", "64", "Batch items sent at once, 1 to 4096."},
      {"limits.body_bytes", "body-bytes", "4194304",
       "Largest body of an online request, 1024 to 67108864 bytes."},
      {"limits.bodies_bytes", "bodies-bytes", "67108864",
       "Bodies of all requests together that a node holds, 1024 to 2000000000 bytes."},
      {"limits.file_bytes", "file-bytes", "1073741824",
       "Largest uploaded file, 1024 to 2000000000 bytes."},
      {"limits.drain_seconds", "drain-seconds", "60",
       "Longest time a planned stop waits for work in progress, 0 to 3600."},
      {"log.level", "log-level", "info", "debug, info, warn or error."},
  };
  return table;
}

Result<Settings> load_settings(const std::string& path, const SettingOverrides& overrides) {
  const std::string place = path.empty() ? "flags" : path;
  Poco::JSON::Object::Ptr document = new Poco::JSON::Object;
  if (!path.empty()) {
    std::ifstream file(path);
    if (!file) {
      return fail(ResultCode::kSettingsInvalid, path + ": cannot be read", path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(document, parse_json_object(text.str()));
      return {};
    });
    if (error) {
      return fail(ResultCode::kSettingsInvalid, path + ": " + error->message, path);
    }
  }
  for (const auto& [key, text] : overrides) {
    apply_override(document, key, text);
  }
  Problems problems;
  Settings settings = read_settings(document, problems);
  if (problems.empty()) {
    check_distinct(settings, problems);
  }
  if (!problems.empty()) {
    return fail(ResultCode::kSettingsInvalid, place + ": " + summarize(problems),
                problems.front().place);
  }
  return settings;
}

std::string describe_settings(const Settings& settings) {
  std::string seeds;
  for (const std::string& seed : settings.seeds) {
    seeds += (seeds.empty() ? "" : ",") + seed;
  }
  const std::map<std::string, std::string> values{
      {"node.name", settings.node_name},
      {"node.zone", settings.zone},
      {"listen.api", settings.api_address},
      {"listen.peer", settings.peer_address},
      {"listen.health", settings.health_address.empty() ? kNone : settings.health_address},
      {"platform.log", settings.log_address},
      {"platform.machines", settings.machines_address},
      {"seeds", seeds},
      {"threads.http", std::to_string(settings.http_threads)},
      {"threads.batch", std::to_string(settings.batch_threads)},
      {"limits.body_bytes", std::to_string(settings.maximum_body_bytes)},
      {"limits.bodies_bytes", std::to_string(settings.maximum_bodies_bytes)},
      {"limits.file_bytes", std::to_string(settings.maximum_file_bytes)},
      {"limits.drain_seconds", std::to_string(settings.drain_seconds)},
      {"log.level", settings.log_level},
  };
  std::string text;
  for (const SettingInfo& info : setting_table()) {
    text += info.key + " = " + values.at(info.key) + "\n";
  }
  return text;
}

}  // namespace dockpoint
