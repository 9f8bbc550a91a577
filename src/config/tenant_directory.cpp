#include "dockpoint/config/tenant_directory.hpp"

#include <unordered_set>
#include <utility>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

std::size_t TenantDirectory::TextHash::operator()(std::string_view text) const {
  return hash64(text);
}

Result<TenantDirectory> TenantDirectory::build(std::vector<Tenant> tenants) {
  TenantDirectory directory;
  directory.enabled_ = true;
  directory.tenants_ = std::move(tenants);
  std::unordered_set<std::string_view> names;
  for (std::size_t index = 0; index < directory.tenants_.size(); ++index) {
    const Tenant& tenant = directory.tenants_[index];
    const std::string place = "tenants[" + std::to_string(index) + "]";
    if (tenant.name.empty() || !names.insert(tenant.name).second) {
      return fail(ResultCode::kConfigurationInvalid,
                  place + ".name is empty or stands at another tenant too", place);
    }
    for (std::size_t key = 0; key < tenant.keys.size(); ++key) {
      const bool added =
          directory.by_key_.emplace(tenant.keys[key], static_cast<std::uint32_t>(index)).second;
      if (tenant.keys[key].empty() || !added) {
        return fail(ResultCode::kConfigurationInvalid,
                    place + ": key number " + std::to_string(key) + " is empty or stands twice",
                    place);
      }
    }
  }
  return directory;
}

const Tenant* TenantDirectory::find_by_key(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace dockpoint
