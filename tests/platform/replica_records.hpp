#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dockpoint::test {

/// @return a replica record with all required members.
/// @param started_ms start of the replica's process in Unix milliseconds; omitted if empty.
inline nlohmann::json replica_record(const std::string& address = "10.0.0.1:80", int slots = 4,
                                     const std::string& state = "ready",
                                     std::optional<std::int64_t> started_ms = std::nullopt) {
  nlohmann::json record{{"service", "lm"}, {"address", address},  {"zone", "zone-a"},
                        {"version", "v1"}, {"slots", slots},      {"state", state},
                        {"sequence", 1},   {"coldRemainingMs", 0}};
  if (started_ms) {
    record["born"] = *started_ms;
  }
  return record;
}

}  // namespace dockpoint::test
