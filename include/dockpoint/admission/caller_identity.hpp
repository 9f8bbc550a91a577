#pragma once

#include <cstddef>
#include <string_view>

#include "dockpoint/config/tenant_directory.hpp"
#include "dockpoint/core/time.hpp"

/// Authenticates callers by API key.
///
/// Load pattern: every request is authenticated, also during a flood of requests with wrong or
/// revoked keys. The decision therefore reads only the configuration in force.
///
/// A caller treats the refusal of an unknown key as final, so a node refuses only while it follows
/// the configuration log. Otherwise the key may have been issued in a version that the node has
/// missed, and the caller is asked to retry, possibly at another node. Conversely, a known key may
/// have been revoked in a missed version. Such a key is accepted unless the operator asks for
/// strict revocation, so that an outage of the log does not reject every caller.
namespace dockpoint {

/// The API key headers of a request. Points into the request.
struct Credential {
  std::size_t count = 0;  ///< Number of key headers; more than one is malformed.
  std::string_view key;   ///< Value of the first key header; empty without one.
};

/// How recently the log has confirmed the node's configuration.
struct ConfigurationFreshness {
  bool following = false;  ///< Confirmed within the maximum configuration age.
  Duration age{};          ///< Time since the last confirmation.
};

/// How revoked keys are handled while the configuration may be stale.
struct RevocationPolicy {
  /// Refuse known keys once the configuration is older than `bound`, since this node may have
  /// missed their revocation.
  bool strict = false;
  Duration bound = std::chrono::seconds(5);  ///< Maximum configuration age if `strict`.
};

enum class CallerVerdict {
  kNoTenant,    ///< No key required; the request belongs to no tenant.
  kTenant,      ///< The key belongs to `tenant`.
  kMalformed,   ///< More than one key header.
  kUnknownKey,  ///< The key is missing or belongs to no tenant.
  kUnsure,      ///< The configuration may be stale; retry later or elsewhere.
};

struct CallerIdentity {
  CallerVerdict verdict = CallerVerdict::kNoTenant;
  const Tenant* tenant = nullptr;  ///< Set with `kTenant`; owned by the directory.
};

/// Authenticates the caller of a request.
/// @param key_needed whether the requested route is open to tenants only.
CallerIdentity identify_caller(const TenantDirectory& tenants, bool key_required,
                               const Credential& credential,
                               const ConfigurationFreshness& freshness,
                               const RevocationPolicy& policy);

}  // namespace dockpoint
