#pragma once

#include <cstddef>

#include "dockpoint/core/knobs.hpp"

/// How many batch items one node may have running.
///
/// Batch fills what online requests leave: all slots, less some kept free at each engine, less
/// those that online requests of all nodes hold right now, divided among the nodes in proportion to
/// the items that each has to run.
/// What is kept free is a number and not a share: loads are known late, so that an engine's load
/// strays from the mean by about as many requests whether it has 7 slots or 19. When online
/// requests rise, items with time to spare are broken off and go on later behind what they have
/// produced. Items that would come late otherwise keep a fixed share of all slots, whatever online
/// requests do.
namespace dockpoint {

/// Engines of the fleet as this node sees them.
struct FleetLoad {
  int slots = 0;         ///< Of all engines that take new work.
  double reserved = 0;   ///< Of those, kept free of batch; see `reserved_slots`.
  int online = 0;        ///< Online requests in flight there, of all nodes.
  double own_items = 0;  ///< That this node runs or has to run.
  double all_items = 0;  ///< That all nodes do, this one included.
  double rounding = 0;  ///< From 0 to 1, spread over the nodes: share of a slot that counts as one.
};

/// @return how many of an engine's slots are kept free of batch.
double reserved_slots(const Knobs& knobs, int slots);

/// See the top of this file. Free of I/O and clocks.
class BatchShare {
 public:
  BatchShare(const Knobs& knobs, const FleetLoad& load);

  /// @return items that may run if they have time to spare.
  std::size_t non_urgent() const { return patient_; }
  /// @return items that may run if they are urgent; not below `patient`.
  std::size_t urgent() const { return urgent_; }
  /// @param running items of this node, @param urgent_running those of them that are urgent.
  /// @return how many items with time to spare have to make room. A few more than allowed are
  /// left running, so that a small change of load breaks nothing off.
  std::size_t excess(std::size_t running, std::size_t urgent_running) const;

 private:
  const double tolerance_;
  std::size_t patient_ = 0;
  std::size_t urgent_ = 0;
};

}  // namespace dockpoint
