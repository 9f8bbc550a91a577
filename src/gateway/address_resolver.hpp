#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gateway/resolver_protocol.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Answers callers that ask which frontend addresses they may use. Single-threaded; borrows the
/// protocol.
class AddressResolver {
 public:
  /// @param longest_lifetime upper limit of the time that callers may cache an answer.
  /// @param offset rotates the addresses if there are more than one answer holds, so that the nodes
  /// together return all of them.
  AddressResolver(const ResolverProtocol& protocol, Duration longest_lifetime,
                  std::uint64_t offset);

  /// Responds with `addresses`, or with 503 if there are none.
  /// @param stopping whether this node shuts down; only logged.
  void serve(const net::ExchangePtr& exchange, std::vector<std::string> addresses, bool stopping);

  /// @return the time within which callers that got an address before a node left may still use it.
  Duration address_validity() const;

 private:
  /// Logs how `addresses` differ from those of the previous answer.
  void log_changes(const std::vector<std::string>& addresses, bool stopping);

  const ResolverProtocol& protocol_;
  const Duration lifetime_;
  const std::uint64_t offset_;
  std::set<std::string> last_addresses_;
};

}  // namespace dockpoint
