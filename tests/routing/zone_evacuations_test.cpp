#include "dockpoint/routing/zone_evacuations.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(zone_evacuations)

BOOST_AUTO_TEST_CASE(a_change_counts_until_it_is_taken_back) {
  ZoneEvacuations evacuations;
  BOOST_TEST(evacuations.change("a", true, 4));
  BOOST_TEST(!evacuations.change("a", true, 5));  // Asked for once more.
  BOOST_TEST(evacuations.contains("a"));
  BOOST_TEST(evacuations.change("a", false, 6));
  BOOST_TEST(!evacuations.contains("a"));
  BOOST_TEST(evacuations.position() == 7U);
}

// A page or a peer that stands before what is known would bring an evacuation back to life.
BOOST_AUTO_TEST_CASE(what_is_older_changes_nothing) {
  ZoneEvacuations evacuations;
  evacuations.change("a", true, 4);
  evacuations.change("a", false, 6);
  BOOST_TEST(!evacuations.change("a", true, 4));
  BOOST_TEST(!evacuations.replace({"a", "b"}, 5));
  BOOST_TEST(evacuations.zones().empty());
}

BOOST_AUTO_TEST_CASE(a_whole_state_replaces_all_zones) {
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
