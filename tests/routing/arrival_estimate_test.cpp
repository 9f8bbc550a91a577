#include "dockpoint/routing/arrival_estimate.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "dockpoint/core/knobs.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

/// Observation in a fleet that starts `per_second` requests of 800 ms each; this node started
/// `own`.
ArrivalObservation observe(double per_second, double nodes, double own) {
  const Knobs knobs;
  constexpr Duration kServiceTime = 800ms;
  return {per_second * 0.8,     kServiceTime, own,
          knobs.arrival_memory, nodes,        knobs.arrival_prior_requests};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(arrival_estimate)

BOOST_AUTO_TEST_CASE(estimate_is_the_fleet_rate_if_the_node_starts_its_share) {
  BOOST_TEST(expected_arrivals(observe(1000, 100, 5), 400ms) == 400,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(one_more_request_hardly_changes_the_estimate_of_a_node_that_sees_few) {
  const double usual = expected_arrivals(observe(700, 295, 1), 400ms);
  const double after_three = expected_arrivals(observe(700, 295, 3), 400ms);
  // An estimate from the node's own rate alone would be three times as high.
  BOOST_TEST(after_three < 2 * usual);
}

BOOST_AUTO_TEST_CASE(no_own_requests_do_not_lower_the_estimate) {
  BOOST_TEST(expected_arrivals(observe(700, 295, 0), 400ms) == 280,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(a_load_step_shows_at_once_at_a_node_that_sees_many_requests) {
  // Digests still show 500 requests a second; the node has started six times its share.
  const double before = expected_arrivals(observe(500, 10, 25), 400ms);
  const double after = expected_arrivals(observe(500, 10, 150), 400ms);
  BOOST_TEST(after > 5 * before);
}

BOOST_AUTO_TEST_CASE(estimates_of_many_nodes_stay_near_the_actual_rate) {
  constexpr double kPerSecond = 700;
  constexpr int kNodes = 295;
  constexpr double kOwnMean = kPerSecond / kNodes / 2;  // In 500 ms.
  const double truth = kPerSecond * 0.4;
  std::mt19937_64 random(21);
  std::poisson_distribution<int> own(kOwnMean);
  double squares = 0;
  for (int node = 0; node < kNodes; ++node) {
    const double estimate = expected_arrivals(observe(kPerSecond, kNodes, own(random)), 400ms);
    squares += std::pow(estimate / truth - 1, 2);
  }
  // For estimates from the node's own rate alone it is 1 / sqrt(kOwnMean), 0.92.
  BOOST_TEST(std::sqrt(squares / kNodes) < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
