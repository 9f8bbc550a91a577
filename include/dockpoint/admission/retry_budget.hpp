#pragma once

#include "dockpoint/core/knobs.hpp"

namespace dockpoint {

/// Limits retries to a percentage of recent successes, so that they cannot amplify an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const Knobs& knobs)
      : limit_(knobs.retry_budget_limit), balance_(knobs.retry_budget_reserve) {}

  /// @param percent retries allowed per 100 successes.
  void set_percent(int percent) { percent_ = percent; }

  void record_success();

  /// Spends one retry from the budget.
  /// @return whether the budget allowed it.
  bool try_spend();

  double balance() const { return balance_; }

 private:
  int percent_ = 20;
  double limit_;
  double balance_;
};

}  // namespace dockpoint
