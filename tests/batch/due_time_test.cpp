#include "dockpoint/batch/due_time.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(due_times)

BOOST_AUTO_TEST_CASE(an_item_becomes_urgent_before_its_due_time_and_overdue_after_it) {
  Knobs knobs;
  knobs.batch_urgent_time = 0.5;
  const DueTime due = due_time(100'000, 20s);
  BOOST_TEST(due.at_ms == 120'000);
  BOOST_TEST(!due.urgent(knobs, 109'999));
  BOOST_TEST(due.urgent(knobs, 110'001));
  BOOST_TEST(!due.overdue(120'000));
  BOOST_TEST(due.overdue(120'001));
}

BOOST_AUTO_TEST_CASE(retention_expires_only_when_it_has_passed_despite_clock_errors) {
  Knobs knobs;
  knobs.clock_error = 5s;
  // The clock of the accepting node was 5 s slow, the clock of the checking node is 5 s fast.
  const std::int64_t submitted = 100'000;
  const std::int64_t submitted_by_slow_clock = submitted - 5'000;
  const std::int64_t now_by_fast_clock = submitted + 60'000 + 5'000;
  BOOST_TEST(expiry_time(knobs, submitted_by_slow_clock, 60s).value() == now_by_fast_clock);
}

BOOST_AUTO_TEST_CASE(a_zero_retention_never_expires) {
  BOOST_TEST(!expiry_time(Knobs{}, 0, Duration{}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
