#include "gateway/address_resolver.hpp"

#include <fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dockpoint {
namespace {

/// Time that callers may cache an answer, unless the settings give a shorter one.
constexpr Duration kAddressLifetime = std::chrono::seconds(1);

/// Some callers cache an answer for up to this multiple of its lifetime.
constexpr int kAddressLifetimeMultiple = 3;

/// Retry-After if no address is known, in seconds.
constexpr const char* kNoAddressRetryAfter = "0.5";

}  // namespace

AddressResolver::AddressResolver(const ResolverProtocol& protocol, Duration longest_lifetime,
                                 std::uint64_t offset)
    : protocol_(protocol),
      lifetime_(std::min(kAddressLifetime, longest_lifetime)),
      offset_(offset) {}

void AddressResolver::serve(const net::ExchangePtr& exchange, std::vector<std::string> addresses,
                            bool stopping) {
  if (!protocol_.asks_for_addresses(exchange->request())) {
    exchange->respond(404, {}, {});
    return;
  }
  log_changes(addresses, stopping);
  if (addresses.empty()) {
    exchange->respond(503, {{"Retry-After", kNoAddressRetryAfter}}, {});
    return;
  }
  const std::size_t limit = protocol_.maximum_addresses();
  if (addresses.size() > limit) {
    const std::size_t first = offset_ % addresses.size();
    std::rotate(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(first),
                addresses.end());
    addresses.resize(limit);
  }
  exchange->respond(200, {{"Content-Type", "application/json"}},
                    protocol_.write_addresses(addresses, lifetime_));
}

Duration AddressResolver::address_validity() const {
  return lifetime_ * kAddressLifetimeMultiple;
}

void AddressResolver::log_changes(const std::vector<std::string>& addresses, bool stopping) {
  std::set<std::string> current(addresses.begin(), addresses.end());
  if (current == last_addresses_) {
    return;
  }
  std::vector<std::string> added;
  std::vector<std::string> removed;
  std::set_difference(current.begin(), current.end(), last_addresses_.begin(),
                      last_addresses_.end(), std::back_inserter(added));
  std::set_difference(last_addresses_.begin(), last_addresses_.end(), current.begin(),
                      current.end(), std::back_inserter(removed));
  spdlog::info("resolver: addresses changed count={} added={} removed={} stopping={}",
               current.size(), fmt::join(added, ","), fmt::join(removed, ","), stopping);
  last_addresses_ = std::move(current);
}

}  // namespace dockpoint
