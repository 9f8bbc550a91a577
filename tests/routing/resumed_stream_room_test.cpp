/// Replays load at the limit of a fleet of two software versions, where a resumed stream can only
/// go to the few replicas of its version.

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"
#include "support/fleet_replay.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

/// Resumed streams are accepted at least this often, relative to new requests.
constexpr double kLeastRelativeShare = 0.5;

/// A small fleet whose replicas are full in each peak; two of them run the second version.
FleetPattern peaks_with_resumed_streams(double resumed_share) {
  FleetPattern pattern;
  pattern.nodes = 10;
  pattern.replicas = 18;
  pattern.slots = 12;
  pattern.mean_per_second = 270;
  pattern.low = 0.33;
  pattern.high = 2;
  pattern.low_ms = 3'300;
  pattern.high_ms = 2'200;
  pattern.service_ms = 400;
  pattern.replicas_report_load = true;
  pattern.reject_when_full = true;
  pattern.second_version = 2;
  pattern.resumed_share = resumed_share;
  return pattern;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(resumed_stream_room)

BOOST_AUTO_TEST_CASE(resumed_streams_find_room_at_the_few_replicas_of_their_version) {
  for (const double resumed_share : {0.01, 0.1}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const FleetOutcome outcome =
          FleetReplay(peaks_with_resumed_streams(resumed_share), seed).run(22'000, 1'000);
      const double resumed_accepted = outcome.resumed - outcome.resumed_refused;
      const double all = outcome.requests;
      const double new_accepted = all - outcome.resumed - outcome.refused + outcome.resumed_refused;
      const double resumed = resumed_accepted / outcome.resumed;
      const double fresh = new_accepted / (all - outcome.resumed);
      BOOST_TEST_MESSAGE("share " << resumed_share << " seed " << seed << ": resumed " << resumed
                                  << " of " << outcome.resumed << ", new " << fresh);
      BOOST_TEST(resumed >= kLeastRelativeShare * fresh);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
