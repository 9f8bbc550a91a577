#include "dockpoint/log/freshness_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

/// Bounds that a deployment may configure, in milliseconds.
constexpr int kBoundsMs[] = {500, 1'000, 2'000, 5'000, 15'000};

/// Peers of a node in a fleet large enough that its idle calls matter.
constexpr std::size_t kLargeFleet = 294;

}  // namespace

BOOST_AUTO_TEST_SUITE(freshness_budget)

BOOST_AUTO_TEST_CASE(staleness_of_a_lone_node_stays_within_the_bound) {
  for (const int bound : kBoundsMs) {
    const FreshnessBudget budget{std::chrono::milliseconds(bound)};
    BOOST_TEST((budget.greatest_age_following(0) <= budget.bound()), bound);
    BOOST_TEST((budget.greatest_age_asking() <= budget.bound()), bound);
    BOOST_TEST((budget.lone_wait() >= budget.bound() / 2), bound);
  }
}

BOOST_AUTO_TEST_CASE(requests_to_peers_and_the_lag_before_them_fit_into_the_bound) {
  for (const int bound : kBoundsMs) {
    const FreshnessBudget budget{std::chrono::milliseconds(bound)};
    // One request without an answer, and one that is answered.
    const Duration age = budget.peer_lag() + budget.question_limit() + budget.question_interval() +
                         budget.answer() + budget.reserve();
    BOOST_TEST((age <= budget.bound()), bound);
  }
}

BOOST_AUTO_TEST_CASE(
    a_node_of_a_large_fleet_reads_at_most_once_in_two_and_a_half_seconds_on_average) {
  const FreshnessBudget budget{std::chrono::seconds(2)};
  const Duration mean = (budget.lone_wait() + budget.longest_wait(kLargeFleet)) / 2;
  BOOST_TEST((mean >= std::chrono::milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(waits_in_a_fleet_are_jittered) {
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

BOOST_AUTO_TEST_CASE(read_timeouts_tolerate_a_log_that_is_a_hundred_times_slower) {
  const FreshnessBudget budget{std::chrono::seconds(2)};
  constexpr Duration kSlowAnswer = std::chrono::milliseconds(4 * 100);
  BOOST_TEST((budget.read_limit(0) > kSlowAnswer));
  BOOST_TEST((budget.read_limit(3) > 2 * kSlowAnswer));
}

BOOST_AUTO_TEST_SUITE_END()
