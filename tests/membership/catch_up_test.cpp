#include "dockpoint/membership/catch_up.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

struct Fixture {
  CatchUp catch_up{FreshnessBudget{std::chrono::seconds(2)}, 0};
  std::vector<std::string> zone{"a", "b"};
  std::vector<std::string> all{"a", "b", "c"};

  std::optional<std::string> next(std::int64_t now, bool follows) {
    return catch_up.next_peer_to_query(at(now), follows,
                                       [this](bool own_zone) { return own_zone ? zone : all; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(catch_up, Fixture)

BOOST_AUTO_TEST_CASE(an_up_to_date_node_that_follows_the_log_queries_no_peer) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 10}, "a", at(100));
  catch_up.record_peer_position({2, 8}, "b", at(100));
  BOOST_TEST(!next(1'000, true).has_value());
}

BOOST_AUTO_TEST_CASE(a_newer_configuration_version_is_queried_immediately) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({4, 10}, "b", at(100));
  BOOST_TEST(next(100, true).value_or("") == "b");
  BOOST_TEST(!next(150, true).has_value());  // At most one query is in flight.
}

BOOST_AUTO_TEST_CASE(missing_records_are_queried_after_the_permitted_lag) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  BOOST_TEST(!next(300, true).has_value());
  BOOST_TEST(next(400, true).value_or("") == "b");
}

// An evacuation does not change the configuration version; only the position in the operator's
// records shows that a node has not read it.
BOOST_AUTO_TEST_CASE(missing_operator_records_are_queried_too) {
  catch_up.set_own_position({3, 10, 20});
  catch_up.record_peer_position({3, 10, 21}, "b", at(100));
  BOOST_TEST(!next(300, true).has_value());
  BOOST_TEST(next(400, true).value_or("") == "b");
  catch_up.set_own_position({3, 10, 21});
  catch_up.record_peer_position({3, 10, 21}, "b", at(500));
  BOOST_TEST(!next(900, true).has_value());
}

BOOST_AUTO_TEST_CASE(a_node_that_has_caught_up_sends_no_query) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  catch_up.set_own_position({3, 11});
  BOOST_TEST(!next(400, true).has_value());
}

// Guards against a fault where an unanswered query was repeated only after a peer had been ahead
// for the whole permitted lag again.
BOOST_AUTO_TEST_CASE(after_an_unanswered_query_the_next_peer_that_is_ahead_is_queried) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  BOOST_TEST(next(400, true).value_or("") == "b");
  catch_up.query_finished();
  BOOST_TEST(!next(410, true).has_value());  // No new digest from a peer that is ahead.
  catch_up.record_peer_position({3, 11}, "c", at(420));
  BOOST_TEST(next(420, true).value_or("") == "c");
}

BOOST_AUTO_TEST_CASE(without_the_log_queries_rotate_and_every_second_stays_in_the_zone) {
  std::vector<std::string> asked;
  for (std::int64_t now = 0; now < 2'000; now += 50) {
    if (const auto address = next(now, false)) {
      asked.push_back(*address);
      catch_up.query_finished();
    }
  }
  BOOST_TEST((asked == std::vector<std::string>{"a", "b", "a", "a", "a"}));
}

BOOST_AUTO_TEST_CASE(a_node_alone_in_its_zone_queries_other_zones) {
  zone.clear();
  BOOST_TEST(next(0, false).value_or("") == "a");
}

BOOST_AUTO_TEST_SUITE_END()
