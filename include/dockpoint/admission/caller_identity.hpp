#pragma once

#include <cstddef>
#include <string_view>

#include "dockpoint/config/tenant_directory.hpp"
#include "dockpoint/core/time.hpp"

/// Who sends a request: the decision on its API key.
///
/// Load pattern: every request passes here, also in a flood of requests with keys that are wrong or
/// were taken away; the decision therefore reads nothing but the configuration in force.
///
/// A refusal for an unknown key is final for a caller. So a node gives it only while it follows the
/// log: otherwise the key may have been issued in a version that this node has missed, and the
/// caller is asked to come back, perhaps to another node. The other way round, a key that is known
/// may have been revoked in such a version. Unless the operator asks for strict revocation it is
/// honoured then: an outage of the log must not turn every caller away.
namespace dockpoint {

/// What a request says of its sender. Borrows the request.
struct Credential {
  std::size_t count = 0;  ///< Headers that hold a key; more than one is malformed.
  std::string_view key;   ///< The first of them; empty if there is none.
};

/// How far a node can vouch for the configuration that it acts on.
struct ConfigurationFreshness {
  bool following = false;  ///< The log has confirmed it within the bound on its age.
  Duration age{};          ///< Since the log last confirmed it.
};

/// What the operator asks for revoked keys.
struct RevocationPolicy {
  /// Refuse callers whose key may have been revoked without this node's knowledge, instead of
  /// serving them.
  bool strict = false;
  Duration bound =
      std::chrono::seconds(5);  ///< Strict: oldest configuration that keys are read from.
};

enum class CallerVerdict {
  kNoTenant,    ///< The request needs no key and belongs to no tenant.
  kTenant,      ///< The key is one of `tenant`.
  kMalformed,   ///< Several keys.
  kUnknownKey,  ///< No tenant has the key, or there is none.
  kUnsure,      ///< This node cannot tell now; another one, or a later one, may.
};

struct CallerIdentity {
  CallerVerdict verdict = CallerVerdict::kNoTenant;
  const Tenant* tenant = nullptr;  ///< With `kTenant`; lives as long as the directory.
};

/// Decides who a caller is.
/// @param key_needed whether what it asks for is open to tenants only.
CallerIdentity identify_caller(const TenantDirectory& tenants, bool key_required,
                               const Credential& credential,
                               const ConfigurationFreshness& freshness,
                               const RevocationPolicy& policy);

}  // namespace dockpoint
