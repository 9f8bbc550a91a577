#include "dockpoint/admission/caller_identity.hpp"

namespace dockpoint {

CallerIdentity identify_caller(const TenantDirectory& tenants, bool key_required,
                               const Credential& credential,
                               const ConfigurationFreshness& freshness,
                               const RevocationPolicy& policy) {
  if (!tenants.enabled() || !key_required) {
    return {CallerVerdict::kNoTenant, nullptr};
  }
  if (credential.count > 1) {
    return {CallerVerdict::kMalformed, nullptr};
  }
  const Tenant* tenant = tenants.find_by_key(credential.key);
  if (tenant == nullptr) {
    // A request without a key is refused under any version of the configuration.
    const bool certain = freshness.following || credential.key.empty();
    return {certain ? CallerVerdict::kUnknownKey : CallerVerdict::kUnsure, nullptr};
  }
  if (policy.strict && freshness.age > policy.bound) {
    return {CallerVerdict::kUnsure, nullptr};
  }
  return {CallerVerdict::kTenant, tenant};
}

}  // namespace dockpoint
