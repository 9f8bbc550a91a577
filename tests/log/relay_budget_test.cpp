#include "dockpoint/log/relay_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(relay_budget)

// Each step was within the bound before, their sum was not.
BOOST_AUTO_TEST_CASE(steps_of_a_relayed_record_fit_into_the_bound_together) {
  for (const int bound_ms : {500, 1'000, 2'000, 5'000, 10'000}) {
    const Duration bound = std::chrono::milliseconds(bound_ms);
    const RelayBudget budget(bound);
    BOOST_TEST((budget.greatest_age() <= bound));
    BOOST_TEST((budget.log_wait() < budget.source_wait()));
    BOOST_TEST((budget.source_wait() <= budget.longest_served_age()));
    BOOST_TEST((budget.source_wait() + budget.source_limit() <= budget.relay_log_age()));
    BOOST_TEST((budget.relay_log_age() < budget.shortest_log_age()));
    BOOST_TEST((budget.shortest_log_age() < budget.longest_log_age()));
  }
}

BOOST_AUTO_TEST_SUITE_END()
