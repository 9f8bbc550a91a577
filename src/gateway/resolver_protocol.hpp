#pragma once

#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "net/http_message.hpp"

namespace dockpoint {

/// How callers ask for the addresses that they may use. Stateless.
class ResolverProtocol {
 public:
  virtual ~ResolverProtocol() = default;
  /// @return whether the request asks for addresses.
  virtual bool asks_for_addresses(const net::RequestHead& head) const = 0;
  /// @return the body of an answer.
  virtual std::string write_addresses(const std::vector<std::string>& addresses,
                                      Duration lifetime) const = 0;
  /// @return most addresses that one answer may hold.
  virtual std::size_t maximum_addresses() const = 0;
};

}  // namespace dockpoint
