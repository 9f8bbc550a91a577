#pragma once

#include <span>
#include <vector>

#include "dockpoint/core/knobs.hpp"

/// Outlier detection: finds replicas that fail far more often than the others of their service.
///
/// A replica may fail part of its requests while its connections and health checks succeed, so that
/// consecutive failures never reach the ejection threshold. In a large fleet no single node sees
/// enough of these failures either, so the nodes share failure counts in their load digests. A
/// replica is an outlier if the fleet recently saw several failures there, and many times the mean
/// of the service; under overload, when all replicas fail alike, none is an outlier. If a large
/// part of the replicas exceeded the limit, the cause would lie elsewhere, and none is excluded.
namespace dockpoint {

/// @param failures recent failures of each replica of one service, summed over all nodes.
/// @return for each replica whether it is an outlier.
std::vector<bool> find_outliers(std::span<const double> failures, const Knobs& knobs);

}  // namespace dockpoint
