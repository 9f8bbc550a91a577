#include "dockpoint/admission/tenant_shares.hpp"

#include <algorithm>

namespace dockpoint {

void TenantShares::activate(const std::string& tenant) {
  finish_.try_emplace(tenant, current_);
}

double TenantShares::virtual_time(const std::string& tenant) const {
  const auto found = finish_.find(tenant);
  return found == finish_.end() ? current_ : found->second;
}

void TenantShares::charge(const std::string& tenant, double tokens, int weight) {
  double& finish = finish_.try_emplace(tenant, current_).first->second;
  current_ = std::max(current_, finish);
  finish += tokens / std::max(1, weight);
}

void TenantShares::deactivate(const std::string& tenant) {
  const auto found = finish_.find(tenant);
  // A tenant ahead of the current virtual time keeps its entry; otherwise it could reset its debt
  // by pausing.
  if (found != finish_.end() && found->second <= current_) {
    finish_.erase(found);
  }
}

}  // namespace dockpoint
