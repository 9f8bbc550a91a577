#include "dockpoint/routing/arrival_estimate.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

double milliseconds_of(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

double expected_arrivals(const ArrivalObservation& observation, Duration span) {
  const double fleet_per_ms = observation.in_flight / observation.service_ms;
  const double expected_own =
      fleet_per_ms * milliseconds_of(observation.memory) / observation.nodes;
  const double correction = std::max(1.0, (observation.own_requests + observation.prior_requests) /
                                              (expected_own + observation.prior_requests));
  return fleet_per_ms * correction * milliseconds_of(span);
}

}  // namespace dockpoint
