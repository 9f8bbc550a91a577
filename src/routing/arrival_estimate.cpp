#include "dockpoint/routing/arrival_estimate.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

double ratio(Duration part, Duration whole) {
  return std::chrono::duration<double>(part) / std::chrono::duration<double>(whole);
}

}  // namespace

double expected_arrivals(const ArrivalObservation& observation, Duration span) {
  const auto started_within = [&](Duration time) {
    return observation.in_flight * ratio(time, observation.service_time);
  };
  const double expected_own = started_within(observation.memory) / observation.nodes;
  const double correction = (observation.own_requests + observation.prior_requests) /
                            (expected_own + observation.prior_requests);
  return started_within(span) * std::max(1.0, correction);
}

}  // namespace dockpoint
