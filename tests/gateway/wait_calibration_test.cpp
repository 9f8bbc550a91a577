#include "gateway/wait_calibration.hpp"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_metrics.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(wait_calibration)

BOOST_AUTO_TEST_CASE(classes_include_their_upper_bound) {
  BOOST_TEST(wait_error(0ms, 0ms).expected_class == "0");
  BOOST_TEST(wait_error(1us, 0ms).expected_class == "50");
  BOOST_TEST(wait_error(50ms, 0ms).expected_class == "50");
  BOOST_TEST(wait_error(51ms, 0ms).expected_class == "100");
  BOOST_TEST(wait_error(100ms, 0ms).expected_class == "100");
  BOOST_TEST(wait_error(200ms, 0ms).expected_class == "200");
  BOOST_TEST(wait_error(400ms, 0ms).expected_class == "400");
  BOOST_TEST(wait_error(400ms + 1us, 0ms).expected_class == "more");
  BOOST_TEST(wait_error(1h, 0ms).expected_class == "more");
}

BOOST_AUTO_TEST_CASE(an_overestimated_wait_has_a_negative_error) {
  BOOST_TEST((wait_error(120ms, 40ms).error == -80ms));
  BOOST_TEST((wait_error(0ms, 40ms).error == 40ms));
  BOOST_TEST((wait_error(100ms, 500ms).error == 400ms));
}

BOOST_AUTO_TEST_CASE(errors_are_counted_by_kind_and_class) {
  GatewayMetrics metrics;
  metrics.observe_wait("streaming", wait_error(120ms, 40ms));
  metrics.observe_wait("streaming", wait_error(150ms, 450ms));
  metrics.observe_wait("idempotent", wait_error(0ms, 20ms));
  const std::string text = metrics.text();
  const auto shows = [&](const std::string& line) { return text.find(line) != std::string::npos; };
  const std::string name = "dockpoint_gateway_wait_error_seconds";
  const std::string streaming = R"(expected_ms="200",kind="streaming")";
  BOOST_TEST(shows(name + "_bucket{" + streaming + R"(,le="-0.1"} 0)"), text);
  BOOST_TEST(shows(name + "_bucket{" + streaming + R"(,le="-0.05"} 1)"), text);
  BOOST_TEST(shows(name + "_bucket{" + streaming + R"(,le="0.4"} 2)"), text);
  BOOST_TEST(shows(name + R"(_count{expected_ms="0",kind="idempotent"} 1)"), text);
}

BOOST_AUTO_TEST_SUITE_END()
