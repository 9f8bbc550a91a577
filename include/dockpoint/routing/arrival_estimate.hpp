#pragma once

#include "dockpoint/core/time.hpp"

/// How many requests the whole fleet starts in a while, as one node sees it.
///
/// A choice on load that is known late has to reckon with what the other nodes have started since
/// (water_filling.hpp). Two things tell a node of that:
///
/// - the requests of all nodes in flight, over the time that one of them takes (Little's law). It
///   rests on many requests, but follows a change of the load only as fast as digests do;
/// - this node's own requests, which follow at once. Of a large fleet a node sees a request or two
///   a second, however: multiplied by hundreds of nodes one request more or less is half the
///   fleet's load.
///
/// So the first is taken as the rate, and the second corrects it as far as its count is worth: the
/// posterior mean of a Poisson rate under a Gamma prior (`Knobs::arrival_prior_requests`). It only
/// corrects upwards: a node that has just started nothing proves no lull, and too few expected
/// requests send all nodes to the same replicas, where too many only spread them more widely.
///
/// Load pattern: online requests that step from a third to twice their mean within a tick, over
/// fleets in which a node sees from 1 to 20 of them a second
/// (tests/routing/placement_replay_test.cpp).
namespace dockpoint {

/// What a node knows of the requests to one service.
struct ArrivalObservation {
  double in_flight = 0;       ///< Online requests of all nodes at the service's replicas.
  Duration service_time{};    ///< Mean that one of them takes; above 0.
  double own_requests = 0;    ///< That this node has started within `memory`.
  Duration memory{};          ///< Above 0.
  double nodes = 1;           ///< That start requests, this one included.
  double prior_requests = 1;  ///< Requests that the estimate from `in_flight` weighs; above 0.
};

/// @return requests that the fleet is expected to start within `span`.
double expected_arrivals(const ArrivalObservation& observation, Duration span);

}  // namespace dockpoint
