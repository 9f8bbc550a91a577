#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/error.hpp"

/// The operator's tenants and the API keys that stand for them.
namespace dockpoint {

/// How many requests a tenant may send, over all nodes together.
struct RateLimit {
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;       ///< Requests above that rate, at once.

  bool limited() const { return per_second > 0; }
};

/// One tenant as the configuration has it.
struct Tenant {
  std::string name;
  int priority = 0;  ///< 0 is the most urgent; goes before the route's.
  RateLimit rate;
  std::vector<std::string> keys;
};

/// All tenants of one configuration, found by key. Immutable once built.
///
/// A look-up hashes the key once, whatever the number of keys.
class TenantDirectory {
 public:
  /// A configuration without tenants: nobody needs a key.
  TenantDirectory() = default;

  /// Checks the tenants: names and keys must not be empty, and none may stand twice.
  /// @return the directory, or `kConfigurationInvalid` with the place of the first fault. The error
  /// never holds a key.
  static Result<TenantDirectory> build(std::vector<Tenant> tenants);

  /// @return whether callers need a key.
  bool enabled() const { return enabled_; }
  /// @return the tenant that a key stands for, or null. Keys are compared byte by byte.
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
