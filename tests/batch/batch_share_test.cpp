#include "dockpoint/batch/batch_share.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

Knobs knobs() {
  Knobs knobs;
  knobs.batch_slot_share = 0.6;
  knobs.batch_yield_tolerance = 1.2;
  return knobs;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_share)

BOOST_AUTO_TEST_CASE(batch_items_use_the_capacity_left_by_online_requests) {
  BOOST_TEST(BatchShare(knobs(), {100, 10, 0, 60, 60}).non_urgent() == 60U);
  BOOST_TEST(BatchShare(knobs(), {100, 10, 50, 60, 60}).non_urgent() == 40U);
  BOOST_TEST(BatchShare(knobs(), {100, 10, 50, 15, 60}).non_urgent() == 10U);
}

BOOST_AUTO_TEST_CASE(slots_are_divided_among_nodes_in_proportion_to_their_items) {
  // One node has a job of 90 items, nine nodes have one item each.
  BOOST_TEST(BatchShare(knobs(), {100, 10, 0, 90, 99}).non_urgent() == 54U);
  BOOST_TEST(BatchShare(knobs(), {100, 10, 0, 1, 99}).non_urgent() == 2U);
}

BOOST_AUTO_TEST_CASE(urgent_items_keep_a_fixed_share_under_any_online_load) {
  const BatchShare share(knobs(), {100, 10, 200, 40, 80});
  BOOST_TEST(share.urgent() == 30U);
  BOOST_TEST(share.non_urgent() == 2U);
}

BOOST_AUTO_TEST_CASE(rising_online_load_interrupts_only_non_urgent_items) {
  const BatchShare share(knobs(), {100, 10, 70, 60, 60});
  BOOST_TEST(share.non_urgent() == 20U);
  BOOST_TEST(share.excess(24, 0) == 0U);
  BOOST_TEST(share.excess(25, 0) == 5U);
  BOOST_TEST(share.excess(50, 0) == 30U);
  BOOST_TEST(share.excess(50, 45) == 5U);
  BOOST_TEST(share.excess(50, 60) == 0U);
}

BOOST_AUTO_TEST_CASE(the_reserve_per_engine_is_constant_but_at_most_half_of_its_slots) {
  Knobs knobs;
  knobs.batch_reserved_slots = 3;
  BOOST_TEST(reserved_slots(knobs, 19) == 3.0);
  BOOST_TEST(reserved_slots(knobs, 7) == 3.0);
  BOOST_TEST(reserved_slots(knobs, 4) == 2.0);
  BOOST_TEST(reserved_slots(knobs, 0) == 0.0);
}

BOOST_AUTO_TEST_CASE(the_minimum_number_of_items_runs_without_a_known_fleet) {
  const BatchShare share(knobs(), {0, 0, 0, 0, 0});
  BOOST_TEST(share.non_urgent() == 2U);
  BOOST_TEST(share.urgent() == 2U);
  BOOST_TEST(share.excess(2, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(staggered_rounding_preserves_the_total_number_of_slots) {
  Knobs knobs;
  knobs.batch_least_items = 0;
  // Ten nodes share five slots.
  std::size_t slots = 0;
  for (int node = 0; node < 10; ++node) {
    slots += BatchShare(knobs, {100, 10, 85, 1, 10, 0.05 + 0.1 * node}).non_urgent();
  }
  BOOST_TEST(slots == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
