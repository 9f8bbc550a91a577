#include "dockpoint/batch/partial_output.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Knobs knobs;
  PartialOutput output{100, true, true, false, true, {}};

  bool decides(PartialOutputStep step) const {
    return decide_partial_output(output, knobs) == step;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partial_output, Fixture)

BOOST_AUTO_TEST_CASE(output_goes_on_where_its_version_has_room) {
  output.origin_has_room = true;
  output.waited = 10min;
  BOOST_TEST(decides(PartialOutputStep::kResume));
}

BOOST_AUTO_TEST_CASE(output_of_an_unknown_origin_is_produced_again) {
  output.origin_known = false;
  output.origin_has_room = true;
  BOOST_TEST(decides(PartialOutputStep::kRestart));
}

BOOST_AUTO_TEST_CASE(output_of_a_version_that_is_gone_is_produced_again_at_once) {
  output.origin_serves = false;
  BOOST_TEST(decides(PartialOutputStep::kRestart));
}

BOOST_AUTO_TEST_CASE(output_is_kept_while_no_replica_of_any_version_has_room) {
  output.other_has_room = false;
  output.waited = 10min;
  BOOST_TEST(decides(PartialOutputStep::kResume));
}

BOOST_AUTO_TEST_CASE(waiting_or_starting_again_costs_at_most_twice_the_better_of_the_two) {
  for (const std::uint64_t events : {1U, 20U, 300U}) {
    const Duration again = knobs.item_event_time * static_cast<Duration::rep>(events);
    for (Duration room_after{}; room_after < 10s; room_after += 7ms) {
      output.events = events;
      Duration spent{};
      for (output.waited = {}; output.waited < room_after; output.waited += 1ms) {
        if (decides(PartialOutputStep::kRestart)) {
          break;
        }
      }
      spent = output.waited < room_after ? output.waited + again : room_after;
      BOOST_TEST((spent <= 2 * std::min(room_after, again) + 1ms));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
