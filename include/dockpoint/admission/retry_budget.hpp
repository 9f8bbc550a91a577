#pragma once

#include "dockpoint/core/knobs.hpp"

namespace dockpoint {

/// Limits retries to a share of recent successes, so that they cannot multiply an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const Knobs& knobs)
      : limit_(knobs.retry_budget_limit), balance_(knobs.retry_budget_reserve) {}

  /// @param percent retries allowed for 100 successes.
  void set_percent(int percent) { percent_ = percent; }

  void record_success();

  /// @return whether a retry is allowed; if so it is counted.
  bool try_spend();

  double balance() const { return balance_; }

 private:
  int percent_ = 20;
  double limit_;
  double balance_;
};

}  // namespace dockpoint
