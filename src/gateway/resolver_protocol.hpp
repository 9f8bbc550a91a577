#pragma once

#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "net/http_message.hpp"

namespace dockpoint {

/// Protocol by which callers resolve the gateway addresses that they may use. Stateless.
class ResolverProtocol {
 public:
  virtual ~ResolverProtocol() = default;
  /// @return whether the request is a resolve request.
  virtual bool asks_for_addresses(const net::RequestHead& head) const = 0;
  /// @return the response body. @param lifetime of the addresses.
  virtual std::string write_addresses(const std::vector<std::string>& addresses,
                                      Duration lifetime) const = 0;
  /// @return maximum number of addresses in one response.
  virtual std::size_t maximum_addresses() const = 0;
};

}  // namespace dockpoint
