#pragma once

#include <map>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Settings of one `dockpointd`. docs/SETTINGS.md lists every key.
struct Settings {
  std::string node_name;
  std::string zone;
  std::string api_address;       ///< `IP:port` of the HTTP interface.
  std::string peer_address;      ///< `IP:port` for datagrams between nodes.
  std::string health_address;    ///< `IP:port` of health checks alone; may be empty.
  std::string log_address;       ///< `IP:port` of the platform's log.
  std::string machines_address;  ///< `IP:port` of the platform's machine list.
  std::vector<std::string> seeds;
  int http_threads = 512;
  int batch_threads = 64;
  int maximum_body_bytes = 4 * 1024 * 1024;
  int maximum_bodies_bytes = 64 * 1024 * 1024;
  int maximum_file_bytes = 1024 * 1024 * 1024;
  int drain_seconds = 60;
  std::string log_level = "info";
};

/// Description of one setting, used by the parser, the printout and the documentation.
struct SettingInfo {
  std::string key;       ///< Path in the file, such as `listen.api`.
  std::string flag;      ///< Long option that overrides it.
  std::string fallback;  ///< Default value; empty if the setting is required.
  std::string help;
};

/// @return every setting, in documentation order.
const std::vector<SettingInfo>& setting_table();

/// Values from command-line flags by key; they override the file.
using SettingOverrides = std::map<std::string, std::string>;

/// Reads and validates a settings file. An error names the file, key, value and allowed values.
/// @param path path of a JSON file; if empty, only flags are used.
Result<Settings> load_settings(const std::string& path, const SettingOverrides& overrides);

/// @return the effective settings, one `key = value` per line.
std::string describe_settings(const Settings& settings);

}  // namespace dockpoint
