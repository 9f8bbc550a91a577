#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace dockpoint {

/// An IP address and a port, as written in settings and configuration.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  /// Reads `IP:port`; host names are rejected, since processes address each other by IP.
  static std::optional<Address> parse(const std::string& text);

  std::string to_string() const { return host + ":" + std::to_string(port); }

  friend bool operator==(const Address&, const Address&) = default;
};

}  // namespace dockpoint
