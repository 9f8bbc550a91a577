#include "dockpoint/log/relay_budget.hpp"

#include <algorithm>

namespace dockpoint {

Duration RelayBudget::log_pause(int failures) const {
  constexpr int kMaxDoublings = 3;
  return bound_ / 20 * (1 << std::clamp(failures - 1, 0, kMaxDoublings));
}

Duration RelayBudget::greatest_age() const {
  return longest_log_age() + log_limit() + log_pause(1) + answer() + reserve();
}

}  // namespace dockpoint
