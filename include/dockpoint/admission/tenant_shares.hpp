#pragma once

#include <map>
#include <string>

namespace dockpoint {

/// Start-time fair queueing over tenants: each tenant's virtual time advances by the work it was
/// given divided by its weight, and the tenant furthest behind is next. A tenant that was idle
/// starts at the current virtual time, so it cannot save up a share.
class TenantShares {
 public:
  /// Makes `tenant` a contender.
  void activate(const std::string& tenant);

  /// @return the virtual time of `tenant`; the lowest is served first.
  double virtual_time(const std::string& tenant) const;

  /// Charges work, in estimated tokens.
  void charge(const std::string& tenant, double tokens, int weight);

  /// Forgets `tenant`, which has nothing left to serve.
  void deactivate(const std::string& tenant);

 private:
  double current_ = 0.0;
  std::map<std::string, double> finish_;
};

}  // namespace dockpoint
