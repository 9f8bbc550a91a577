#include "dockpoint/log/freshness_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

/// Bounds that a deployment may ask for, in milliseconds.
constexpr int kBoundsMs[] = {500, 1'000, 2'000, 5'000, 15'000};

/// Readers of a fleet whose calls at rest count.
constexpr std::size_t kLargeFleet = 294;

}  // namespace

BOOST_AUTO_TEST_SUITE(freshness_budget)

BOOST_AUTO_TEST_CASE(what_a_lone_node_believes_is_never_older_than_the_bound) {
  for (const int bound : kBoundsMs) {
    const FreshnessBudget budget{std::chrono::milliseconds(bound)};
    BOOST_TEST((budget.greatest_age_following(0) <= budget.bound()), bound);
    BOOST_TEST((budget.greatest_age_asking() <= budget.bound()), bound);
    BOOST_TEST((budget.lone_wait() >= budget.bound() / 2), bound);
  }
}

BOOST_AUTO_TEST_CASE(a_question_and_the_lag_before_it_fit_into_the_bound) {
  for (const int bound : kBoundsMs) {
    const FreshnessBudget budget{std::chrono::milliseconds(bound)};
    // One that goes unanswered, and one that is answered.
    const Duration age = budget.peer_lag() + budget.question_limit() + budget.question_interval() +
                         budget.answer() + budget.reserve();
    BOOST_TEST((age <= budget.bound()), bound);
  }
}

BOOST_AUTO_TEST_CASE(
    a_large_fleet_makes_no_more_calls_than_one_read_a_node_in_two_and_a_half_seconds) {
  const FreshnessBudget budget{std::chrono::seconds(2)};
  const Duration mean = (budget.lone_wait() + budget.longest_wait(kLargeFleet)) / 2;
  BOOST_TEST((mean >= std::chrono::milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(waits_of_a_fleet_are_spread) {
  const FreshnessBudget budget{std::chrono::seconds(2)};
  std::mt19937_64 random(1);
  Duration shortest = budget.longest_wait(kLargeFleet);
  Duration longest{};
  for (std::size_t node = 0; node <= kLargeFleet; ++node) {
    const Duration wait = budget.draw_wait(kLargeFleet, random);
    shortest = std::min(shortest, wait);
    longest = std::max(longest, wait);
  }
  BOOST_TEST((shortest < budget.lone_wait() + std::chrono::milliseconds(100)));
  BOOST_TEST((longest > budget.longest_wait(kLargeFleet) - std::chrono::milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(a_log_that_is_slow_by_a_hundred_times_is_heard) {
  const FreshnessBudget budget{std::chrono::seconds(2)};
  constexpr Duration kSlowAnswer = std::chrono::milliseconds(4 * 100);
  BOOST_TEST((budget.read_limit(0) > kSlowAnswer));
  BOOST_TEST((budget.read_limit(3) > 2 * kSlowAnswer));
}

BOOST_AUTO_TEST_SUITE_END()
