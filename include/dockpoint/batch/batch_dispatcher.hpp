#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/batch/batch_scheduler.hpp"
#include "dockpoint/batch/partition_controller.hpp"

namespace dockpoint {

/// The partitions that a node follows, keyed by partition number.
using Partitions = std::map<int, std::unique_ptr<PartitionController>>;

/// Dispatches items of the node's partitions to engines with free capacity. The scheduler selects
/// the job; the engine is the one with the most free slots in this node's allowance.
/// Not thread-safe; borrows all references.
class BatchDispatcher {
 public:
  using Dispatch = std::function<void(const ItemDispatch&)>;

  struct Options {
    std::string node;  ///< This node's id.
    int maximum_in_flight = 64;
  };

  BatchDispatcher(const Knobs& knobs, Options options, EngineTable& engines, Partitions& partitions,
                  Dispatch dispatch);

  /// @return the number of jobs with an item ready to send plus the number of items in flight. It
  /// is advertised to the other nodes, which share the idle capacity with this one.
  std::uint32_t demand(TimePoint now, UnixSeconds wall_clock);

  /// Sends as many ready items as current capacity allows.
  /// @param nodes number of nodes with batch items to send, including this one.
  void send_items(int nodes, TimePoint now, UnixSeconds wall_clock);

  /// Releases the capacity of an item whose dispatch ended and reports the engine's health signal.
  void item_ended(const ItemOutcome& outcome, TimePoint now);

  int in_flight() const { return in_flight_; }

 private:
  std::vector<BatchCandidate> candidates(TimePoint now, UnixSeconds wall_clock);
  bool send_one(const std::vector<BatchCandidate>& candidates, int nodes, TimePoint now);
  const EngineView* engine_for(const JobSpec& job, int nodes, TimePoint now);
  const Selector& selector_of(const JobSpec& job);

  const Knobs& knobs_;
  const Options options_;
  EngineTable& engines_;
  Partitions& partitions_;
  const Dispatch dispatch_;
  BatchScheduler scheduler_;
  std::map<std::string, Selector> selectors_;  ///< Parsed job selectors, keyed by their JSON text.
  int in_flight_ = 0;
};

}  // namespace dockpoint
