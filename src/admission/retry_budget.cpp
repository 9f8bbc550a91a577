#include "dockpoint/admission/retry_budget.hpp"

#include <algorithm>

namespace dockpoint {

void RetryBudget::record_success() {
  balance_ = std::min(limit_, balance_ + percent_ / 100.0);
}

bool RetryBudget::try_spend() {
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

}  // namespace dockpoint
