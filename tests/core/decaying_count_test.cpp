#include "dockpoint/core/decaying_count.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

BOOST_AUTO_TEST_SUITE(decaying_count)

BOOST_AUTO_TEST_CASE(the_rate_follows_events_and_decays) {
  DecayingCount count(std::chrono::milliseconds(500));
  for (int event = 0; event < 200; ++event) {
    count.add(at(event * 20));
  }
  BOOST_TEST(count.per_second(at(199 * 20)) == 50.0, boost::test_tools::tolerance(0.05));
  BOOST_TEST(count.per_second(at(199 * 20 + 3'000)) < 1.0);
}

BOOST_AUTO_TEST_CASE(an_event_decays_to_a_third_after_the_memory) {
  DecayingCount count(std::chrono::seconds(6));
  BOOST_TEST(count.value(at(0)) == 0.0);
  count.add(at(1'000));
  BOOST_TEST(count.value(at(1'000)) == 1.0);
  BOOST_TEST(count.value(at(7'000)) == 0.368, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
