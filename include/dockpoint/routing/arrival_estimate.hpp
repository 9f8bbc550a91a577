#pragma once

#include "dockpoint/core/time.hpp"

/// Estimates how many requests the whole fleet starts in a time span, from the view of one node.
///
/// A choice on stale load data has to account for requests that other nodes have started since
/// (water_filling.hpp). Two observations are available to a node:
///
/// - the requests of all nodes in flight, divided by the mean service time (Little's law). It rests
///   on many requests, but follows a change of the load only as fast as digests arrive;
/// - this node's own requests, which follow at once. In a large fleet, however, a node sees a
///   request or two a second: multiplied by hundreds of nodes, one request more or less is half the
///   fleet's load.
///
/// So the first gives the rate, and the second corrects it with the weight of its count: the
/// posterior mean of a Poisson rate under a Gamma prior (`Knobs::arrival_prior_requests`). The
/// correction is upwards only: few own requests are no evidence of a lull, and an estimate that is
/// too low sends all nodes to the same replicas, while one that is too high only spreads requests
/// more widely.
///
/// Load pattern: online requests that step from a third to twice their mean within a tick, in
/// fleets in which a node sees from 1 to 20 of them a second
/// (tests/routing/placement_replay_test.cpp).
namespace dockpoint {

/// Observations of one node about the requests to one service.
struct ArrivalObservation {
  double in_flight = 0;       ///< Online requests of all nodes at the service's replicas.
  Duration service_time{};    ///< Mean time that one of them takes; above 0.
  double own_requests = 0;    ///< Requests started by this node within `memory`.
  Duration memory{};          ///< Window of `own_requests`; above 0.
  double nodes = 1;           ///< Nodes that start requests, this one included.
  double prior_requests = 1;  ///< Weight of the estimate from `in_flight`, in requests; above 0.
};

/// @return expected number of requests that the fleet starts within `span`.
double expected_arrivals(const ArrivalObservation& observation, Duration span);

}  // namespace dockpoint
