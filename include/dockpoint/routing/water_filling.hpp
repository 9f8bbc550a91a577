#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <vector>

/// Randomised choice among replicas on stale load data.
///
/// Load that other nodes cause becomes known a few hundred milliseconds late. Nodes that all choose
/// the least loaded replica of that view overload it: the more nodes, the worse (herd effect).
/// Therefore the requests that the fleet has started since are estimated and distributed by
/// water-filling: the least loaded replicas are raised to a common level until all requests are
/// distributed. A node then draws a replica with a probability proportional to its part. With few
/// unseen requests only the least loaded replicas are drawn; with many, all.
///
/// Source: M. Dahlin, "Interpreting stale load information", IEEE Transactions on Parallel and
/// Distributed Systems 11(10), 2000 (the "basic LI" policy), here with unequal numbers of slots.
namespace dockpoint {

/// Known load of one replica.
struct SlotLoad {
  double load = 0;   ///< Requests known to run or wait there.
  double slots = 1;  ///< Above 0.
};

/// Expected distribution of unseen requests over replicas.
class WaterFilling {
 public:
  /// @param unseen number of requests not yet seen in digests; above 0.
  WaterFilling(std::span<const SlotLoad> replicas, double unseen);

  /// @return expected unseen requests at each replica, in the order of the constructor argument.
  const std::vector<double>& expected() const { return expected_; }
  /// @param preference weight of each replica, multiplied by its expected requests; above 0.
  /// @return indices of up to `count` replicas, drawn without replacement, in the order drawn.
  std::vector<std::size_t> draw(std::size_t count, std::span<const double> preference,
                                std::mt19937_64& random) const;

 private:
  std::vector<double> expected_;
};

}  // namespace dockpoint
