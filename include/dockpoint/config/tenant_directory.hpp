#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/error.hpp"

/// The operator's tenants and the API keys that identify them.
namespace dockpoint {

/// Rate limit of a tenant, over all nodes together.
struct RateLimit {
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;       ///< Requests that may exceed the rate at once.

  bool limited() const { return per_second > 0; }
};

/// One tenant of the configuration.
struct Tenant {
  std::string name;
  int priority = 0;  ///< 0 is the most urgent; overrides the route's.
  RateLimit rate;
  std::vector<std::string> keys;
};

/// All tenants of one configuration, found by key. Immutable once built.
///
/// A lookup hashes the key once, regardless of the number of keys.
class TenantDirectory {
 public:
  /// A configuration without tenants: nobody needs a key.
  TenantDirectory() = default;

  /// Checks the tenants: names and keys must be unique and not empty.
  /// @return the directory, or `kConfigurationInvalid` with the place of the first fault. The error
  /// never contains a key.
  static Result<TenantDirectory> build(std::vector<Tenant> tenants);

  /// @return whether callers need a key.
  bool enabled() const { return enabled_; }
  /// @return the tenant that a key identifies, or null. Keys are compared byte by byte.
  const Tenant* find_by_key(std::string_view key) const;
  const std::vector<Tenant>& all() const { return tenants_; }

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const;
  };

  bool enabled_ = false;
  std::vector<Tenant> tenants_;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>>
      by_key_;  ///< Index in `tenants_`.
};

}  // namespace dockpoint
