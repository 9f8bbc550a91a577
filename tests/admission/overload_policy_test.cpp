#include "dockpoint/admission/overload_policy.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Knobs knobs;
  OverloadPolicy policy{knobs};

  Fixture() { knobs.overload_objectives = 2; }

  std::optional<Duration> ask(Duration time_left, Duration wait, std::uint64_t spread = 0) {
    return policy.refuse("route", {300ms, time_left, wait}, spread);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(overload_policy, Fixture)

BOOST_AUTO_TEST_CASE(only_requests_expected_to_miss_the_objective_are_refused) {
  BOOST_TEST(!ask(8s, 600ms).has_value());
  BOOST_TEST(ask(8s, 601ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_has_used_part_of_its_time_is_never_refused) {
  BOOST_TEST(ask(8s, 3s).has_value());
  BOOST_TEST(ask(7'900ms, 3s).has_value());
  BOOST_TEST(!ask(7s, 3s).has_value());
}

BOOST_AUTO_TEST_CASE(retry_delays_are_jittered_and_end_before_the_deadline) {
  const Duration first = ask(8s, 3s, 0).value();
  const Duration last = ask(8s, 3s, 999).value();
  BOOST_TEST((first >= 900ms && first < 1s));
  BOOST_TEST((last > 2'500ms && last < Duration(8s) / 3));
}

BOOST_AUTO_TEST_CASE(deadlines_are_learnt_separately_for_each_route) {
  BOOST_TEST(ask(8s, 3s).has_value());
  BOOST_TEST(policy.refuse("other", {300ms, 2s, 3s}, 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_route_without_an_objective_never_refuses_for_overload) {
  BOOST_TEST(!policy.refuse("route", {Duration{}, 8s, 60s}, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
