#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <vector>

/// Choice among replicas whose load is known too late.
///
/// Load that other nodes cause is known a few hundred milliseconds after the fact. Nodes that all
/// choose the least loaded replica of that view meet there: the more of them, the worse. So the
/// requests that the fleet has started since are estimated and assigned by water-filling: the least
/// loaded replicas are raised to a common level until all are assigned. A node then draws a replica
/// with a probability in proportion to what it was assigned. With few requests unseen only the
/// least loaded replicas are drawn; with many, all.
///
/// Source: M. Dahlin, "Interpreting stale load information", IEEE Transactions on Parallel and
/// Distributed Systems 11(10), 2000 (the "basic LI" policy), here with slots of unequal number.
namespace dockpoint {

/// Known load of one replica.
struct SlotLoad {
  double load = 0;   ///< Requests known to run or wait there.
  double slots = 1;  ///< Above 0.
};

/// Where requests that are not seen yet are expected.
class WaterFilling {
 public:
  /// @param unseen requests, at least a small number above 0.
  WaterFilling(std::span<const SlotLoad> replicas, double unseen);

  /// @return requests expected at each replica beyond the known ones, in the order given.
  const std::vector<double>& expected() const { return expected_; }
  /// @param preference of each replica beside others that expect as much; above 0.
  /// @return indices of up to `count` replicas, drawn one after the other without repetition, in
  /// that order.
  std::vector<std::size_t> draw(std::size_t count, std::span<const double> preference,
                                std::mt19937_64& random) const;

 private:
  std::vector<double> expected_;
};

}  // namespace dockpoint
