#include "dockpoint/batch/due_time.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(due_times)

BOOST_AUTO_TEST_CASE(an_item_is_urgent_in_the_last_part_of_its_time_and_then_overdue) {
  Knobs knobs;
  knobs.batch_urgent_time = 0.5;
  const DueTime due = due_time(100'000, 20s);
  BOOST_TEST(due.at_ms == 120'000);
  BOOST_TEST(!due.urgent(knobs, 109'999));
  BOOST_TEST(due.urgent(knobs, 110'001));
  BOOST_TEST(!due.overdue(120'000));
  BOOST_TEST(due.overdue(120'001));
}

BOOST_AUTO_TEST_CASE(an_item_is_given_up_only_when_its_retention_has_passed_by_every_clock) {
  Knobs knobs;
  knobs.clock_error = 5s;
  // The clock that stamped the job was 5 s behind, the one that looks now is 5 s ahead.
  const std::int64_t submitted = 100'000;
  const std::int64_t stamped = submitted - 5'000;
  const std::int64_t shown_at_the_end = submitted + 60'000 + 5'000;
  BOOST_TEST(!retention_expired(knobs, stamped, 60s, shown_at_the_end));
  BOOST_TEST(retention_expired(knobs, stamped, 60s, shown_at_the_end + 1));
}

BOOST_AUTO_TEST_CASE(an_item_without_a_retention_is_never_given_up) {
  BOOST_TEST(!retention_expired(Knobs{}, 0, Duration{}, 1'000'000'000));
}

BOOST_AUTO_TEST_SUITE_END()
