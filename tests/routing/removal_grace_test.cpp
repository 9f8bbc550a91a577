#include "dockpoint/routing/removal_grace.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

struct Fixture {
  Knobs knobs;
  RemovalGrace grace{knobs};
};

const std::vector<std::string> kNone;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(removal_grace, Fixture)

BOOST_AUTO_TEST_CASE(a_removal_takes_effect_at_once_while_the_log_is_reachable) {
  BOOST_TEST(!grace.defer("r1", at(1'000)));
  BOOST_TEST(!grace.is_deferred("r1"));
}

BOOST_AUTO_TEST_CASE(records_that_expired_in_an_outage_have_the_grace_period_to_reappear) {
  grace.log_lost();
  grace.log_regained(at(10'000));
  BOOST_TEST(grace.defer("r1", at(10'000)));
  BOOST_TEST(grace.defer("r2", at(10'000)));
  grace.cancel_deferral("r1");
  BOOST_TEST(grace.take_expired(at(11'999)) == kNone, boost::test_tools::per_element());
  const std::vector<std::string> gone{"r2"};
  BOOST_TEST(grace.take_expired(at(12'000)) == gone, boost::test_tools::per_element());
  BOOST_TEST(!grace.is_deferred("r2"));
  BOOST_TEST(!grace.defer("r1", at(12'000)));
}

BOOST_AUTO_TEST_CASE(a_removal_late_in_the_grace_period_is_not_deferred_beyond_it) {
  grace.log_lost();
  grace.log_regained(at(10'000));
  BOOST_TEST(grace.defer("r1", at(11'900)));
  BOOST_TEST(grace.take_expired(at(12'000)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_removal_learnt_from_a_peer_in_an_outage_takes_effect_after_the_grace_period) {
  grace.log_lost();
  BOOST_TEST(grace.defer("r1", at(10'000)));
  BOOST_TEST(grace.defer("r1", at(11'000)));  // Reported again: the first report sets the time.
  BOOST_TEST(grace.take_expired(at(11'999)).empty());
  BOOST_TEST(grace.take_expired(at(12'000)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
