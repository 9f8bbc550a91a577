#include "dockpoint/core/sliding_window_count.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

BOOST_AUTO_TEST_SUITE(sliding_window_count)

BOOST_AUTO_TEST_CASE(events_are_counted_for_the_window_and_at_most_a_slot_longer) {
  SlidingWindowCount count(std::chrono::seconds(5));
  count.add(at(1'000));
  count.add(at(1'150), 2);
  BOOST_TEST(count.value(at(1'150)) == 3);
  BOOST_TEST(count.value(at(6'150)) == 3);
  BOOST_TEST(count.value(at(6'401)) == 0);
}

BOOST_AUTO_TEST_CASE(corrections_are_subtracted) {
  SlidingWindowCount count(std::chrono::seconds(5));
  count.add(at(0), 3);
  count.add(at(10), -1);
  BOOST_TEST(count.value(at(20)) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
