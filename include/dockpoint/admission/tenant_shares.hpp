#pragma once

#include <map>
#include <string>

namespace dockpoint {

/// Start-time fair queueing over tenants: each tenant's virtual time advances by the work charged
/// to it divided by its weight, and the tenant with the lowest virtual time is served next. A
/// tenant that was idle starts at the current virtual time, so it cannot accumulate credit.
class TenantShares {
 public:
  /// Adds `tenant` at the current virtual time, unless it is active already.
  void activate(const std::string& tenant);

  /// @return the virtual time of `tenant`; the lowest is served first.
  double virtual_time(const std::string& tenant) const;

  /// Advances the virtual time of `tenant` by `tokens`, its estimated work, divided by `weight`.
  void charge(const std::string& tenant, double tokens, int weight);

  /// Removes `tenant` after its queue has drained, unless it is ahead of the current virtual time.
  void deactivate(const std::string& tenant);

 private:
  double current_ = 0.0;
  std::map<std::string, double> finish_;
};

}  // namespace dockpoint
