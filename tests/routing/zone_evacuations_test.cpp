#include "dockpoint/routing/zone_evacuations.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(zone_evacuations)

BOOST_AUTO_TEST_CASE(an_evacuation_is_in_force_until_it_is_revoked) {
  ZoneEvacuations evacuations;
  BOOST_TEST(evacuations.change("a", true, 4));
  BOOST_TEST(!evacuations.change("a", true, 5));  // A repeated request.
  BOOST_TEST(evacuations.contains("a"));
  BOOST_TEST(evacuations.change("a", false, 6));
  BOOST_TEST(!evacuations.contains("a"));
  BOOST_TEST(evacuations.position() == 7U);
}

// Guards against stale pages or answers of peers that would reinstate a revoked evacuation.
BOOST_AUTO_TEST_CASE(older_changes_and_states_are_ignored) {
  ZoneEvacuations evacuations;
  evacuations.change("a", true, 4);
  evacuations.change("a", false, 6);
  BOOST_TEST(!evacuations.change("a", true, 4));
  BOOST_TEST(!evacuations.replace({"a", "b"}, 5));
  BOOST_TEST(evacuations.zones().empty());
}

BOOST_AUTO_TEST_CASE(a_complete_state_replaces_all_zones) {
  ZoneEvacuations evacuations;
  evacuations.change("a", true, 4);
  BOOST_TEST(evacuations.replace({"b"}, 9));
  BOOST_TEST(!evacuations.contains("a"));
  BOOST_TEST(evacuations.contains("b"));
  BOOST_TEST(!evacuations.replace({"b"}, 9));
  evacuations.advance(12);
  BOOST_TEST(!evacuations.replace({}, 11));
  BOOST_TEST(evacuations.contains("b"));
}

BOOST_AUTO_TEST_SUITE_END()
