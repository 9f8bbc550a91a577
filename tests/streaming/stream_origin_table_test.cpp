#include "dockpoint/streaming/stream_origin_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = TimePoint{} + 1000s;
const StreamOrigin kFirst{"lm", "v1"};
const StreamOrigin kSecond{"lm", "v2"};

StreamKey key(int number) {
  return stream_key("", std::to_string(number));
}

struct Fixture {
  Knobs knobs;
  StreamOriginTable table{knobs};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_origin_table, Fixture)

BOOST_AUTO_TEST_CASE(a_recorded_origin_is_found_with_its_age) {
  table.record({key(1), kFirst}, true, kNow);
  const auto known = table.find(key(1), kNow + 2s);
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST((known->origin == kFirst));
  BOOST_TEST((known->age == 2s));
  BOOST_TEST(!table.find(key(2), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(contradictory_origins_are_unknown) {
  table.record({key(1), kFirst}, true, kNow);
  table.record({key(1), kSecond}, true, kNow);
  table.record({key(1), kFirst}, true, kNow);
  BOOST_TEST(!table.find(key(1), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(an_attempt_of_another_tenant_is_another_stream) {
  BOOST_TEST((stream_key("clinic", "a") != stream_key("shop", "a")));
  BOOST_TEST((stream_key("", "a") != stream_key("a", "")));
}

BOOST_AUTO_TEST_CASE(records_are_forgotten_after_their_lifetime) {
  table.record({key(1), kFirst}, true, kNow);
  table.record({key(2), kFirst}, true, kNow);
  table.record({key(1), kFirst}, true, kNow + 60s);
  table.forget_old(kNow + knobs.stream_origin_lifetime + 1s);
  BOOST_TEST(table.find(key(1), kNow).has_value());
  BOOST_TEST(!table.find(key(2), kNow).has_value());
}

BOOST_AUTO_TEST_CASE(a_flood_evicts_the_records_confirmed_longest_ago) {
  knobs.stream_origins = 100;
  for (int number = 0; number < 1000; ++number) {
    table.record({key(number), kFirst}, false, kNow);
  }
  BOOST_TEST(table.size() == 100U);
  BOOST_TEST(!table.find(key(899), kNow).has_value());
  BOOST_TEST(table.find(key(900), kNow).has_value());
  BOOST_TEST(table.take_unannounced([](const std::string&) { return true; }).size() == 100U);
}

BOOST_AUTO_TEST_CASE(unannounced_records_of_a_service_are_taken_once) {
  table.record({key(1), kFirst}, false, kNow);
  table.record({key(2), kFirst}, true, kNow);
  table.record({key(3), {"other", "v1"}}, false, kNow);
  const auto of_lm = [](const std::string& service) { return service == "lm"; };
  const auto taken = table.take_unannounced(of_lm);
  BOOST_REQUIRE(taken.size() == 1U);
  BOOST_TEST((taken.front().key == key(1)));
  BOOST_TEST(table.take_unannounced(of_lm).empty());
}

BOOST_AUTO_TEST_SUITE_END()
