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

BOOST_AUTO_TEST_CASE(a_node_that_follows_and_is_not_behind_asks_nobody) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 10}, "a", at(100));
  catch_up.record_peer_position({2, 8}, "b", at(100));
  BOOST_TEST(!next(1'000, true).has_value());
}

BOOST_AUTO_TEST_CASE(a_newer_version_is_asked_for_at_once) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({4, 10}, "b", at(100));
  BOOST_TEST(next(100, true).value_or("") == "b");
  BOOST_TEST(!next(150, true).has_value());  // One question at a time.
}

BOOST_AUTO_TEST_CASE(records_that_others_have_are_asked_for_after_a_short_time) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  BOOST_TEST(!next(300, true).has_value());
  BOOST_TEST(next(400, true).value_or("") == "b");
}

// An evacuation has no version: the position tells that a node lacks it.
BOOST_AUTO_TEST_CASE(the_operators_records_that_others_have_are_asked_for_too) {
  catch_up.set_own_position({3, 10, 20});
  catch_up.record_peer_position({3, 10, 21}, "b", at(100));
  BOOST_TEST(!next(300, true).has_value());
  BOOST_TEST(next(400, true).value_or("") == "b");
  catch_up.set_own_position({3, 10, 21});
  catch_up.record_peer_position({3, 10, 21}, "b", at(500));
  BOOST_TEST(!next(900, true).has_value());
}

BOOST_AUTO_TEST_CASE(a_node_that_has_caught_up_does_not_ask) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  catch_up.set_own_position({3, 11});
  BOOST_TEST(!next(400, true).has_value());
}

// A question that went unanswered was not asked again until a peer had been ahead for the whole
// lag once more.
BOOST_AUTO_TEST_CASE(after_a_question_without_an_answer_the_next_peer_that_is_ahead_is_asked) {
  catch_up.set_own_position({3, 10});
  catch_up.record_peer_position({3, 11}, "b", at(100));
  BOOST_TEST(next(400, true).value_or("") == "b");
  catch_up.query_finished();
  BOOST_TEST(!next(410, true).has_value());  // Nobody said again that it is ahead.
  catch_up.record_peer_position({3, 11}, "c", at(420));
  BOOST_TEST(next(420, true).value_or("") == "c");
}

BOOST_AUTO_TEST_CASE(without_the_log_all_are_asked_in_turn_every_second_time_of_the_own_zone) {
  std::vector<std::string> asked;
  for (std::int64_t now = 0; now < 2'000; now += 50) {
    if (const auto address = next(now, false)) {
      asked.push_back(*address);
      catch_up.query_finished();
    }
  }
  BOOST_TEST((asked == std::vector<std::string>{"a", "b", "a", "a", "a"}));
}

BOOST_AUTO_TEST_CASE(a_zone_without_other_nodes_asks_elsewhere) {
  zone.clear();
  BOOST_TEST(next(0, false).value_or("") == "a");
}

BOOST_AUTO_TEST_SUITE_END()
