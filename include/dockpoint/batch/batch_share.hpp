#pragma once

#include <cstddef>

#include "dockpoint/core/knobs.hpp"

/// Limits on the number of batch items that one node may run.
///
/// Batch items use the capacity left by online requests: all slots, minus those reserved at each
/// engine, minus those in use by online requests of all nodes. The remainder is divided among the
/// nodes in proportion to their outstanding items.
/// The reserve is an absolute number of slots, not a percentage: load reports arrive with a delay,
/// and an engine's load deviates from the mean by about the same number of requests whether it has
/// 7 slots or 19. When online load rises, non-urgent items are interrupted and later resume from
/// their checkpoints. Urgent items, which would otherwise miss their deadline, keep a fixed share
/// of all slots regardless of online load.
namespace dockpoint {

/// This node's view of the fleet's engines and their load.
struct FleetLoad {
  int slots = 0;         ///< Total slots of all engines that accept new work.
  double reserved = 0;   ///< Slots among these reserved for online; see `reserved_slots`.
  int online = 0;        ///< Online requests of all nodes in flight on these engines.
  double own_items = 0;  ///< Items that this node runs or has yet to run.
  double all_items = 0;  ///< Items that all nodes, including this one, run or have yet to run.
  double rounding = 0;   ///< Rounding offset in [0, 1], staggered across the nodes.
};

/// @return the number of an engine's slots that batch items must leave free.
double reserved_slots(const Knobs& knobs, int slots);

/// Batch concurrency limits of one node, see the top of this file. Performs no I/O and reads no
/// clock.
class BatchShare {
 public:
  BatchShare(const Knobs& knobs, const FleetLoad& load);

  /// @return the maximum number of running items for which a non-urgent item may still start.
  std::size_t non_urgent() const { return non_urgent_; }
  /// @return the same limit for an urgent item; at least `non_urgent()`.
  std::size_t urgent() const { return urgent_; }
  /// @param running number of items that this node runs.
  /// @param urgent_running number of urgent items among them.
  /// @return the number of non-urgent items to interrupt. Zero while the limit is exceeded only
  /// within a tolerance, so that small load changes interrupt nothing.
  std::size_t excess(std::size_t running, std::size_t urgent_running) const;

 private:
  const double tolerance_;
  std::size_t non_urgent_ = 0;
  std::size_t urgent_ = 0;
};

}  // namespace dockpoint
