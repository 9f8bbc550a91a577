#include "dockpoint/core/suspension_detector.hpp"

#include <boost/test/unit_test.hpp>

#include "net/clock.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time) {
  return TimePoint(std::chrono::hours(1)) + time;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(suspension_detector)

BOOST_AUTO_TEST_CASE(reports_the_suspended_time) {
  SuspensionDetector detector;
  BOOST_TEST(!detector.check(at(0s), at(0s)));
  BOOST_TEST(!detector.check(at(50ms), at(50ms)));
  const auto suspended = detector.check(at(7s), at(100ms));
  BOOST_REQUIRE(suspended);
  BOOST_TEST((*suspended == 6900ms));
  BOOST_TEST(!detector.check(at(7050ms), at(150ms)));
}

BOOST_AUTO_TEST_CASE(preemption_between_the_two_readings_is_no_suspension) {
  SuspensionDetector detector;
  detector.check(at(0s), at(0s));
  BOOST_TEST(!detector.check(at(50ms), at(500ms)));
  BOOST_TEST(!detector.check(at(600ms), at(600ms)));
}

BOOST_AUTO_TEST_CASE(decision_time_includes_suspended_time) {
  const TimePoint before = net::read_clock(CLOCK_BOOTTIME);
  const TimePoint now = net::steady_now();
  const TimePoint after = net::read_clock(CLOCK_BOOTTIME);
  BOOST_TEST((before <= now && now <= after));
}

BOOST_AUTO_TEST_SUITE_END()
