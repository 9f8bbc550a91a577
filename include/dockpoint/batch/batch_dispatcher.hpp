#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/batch/batch_scheduler.hpp"
#include "dockpoint/batch/partition_controller.hpp"

namespace dockpoint {

/// The partitions that a node follows, by number.
using Partitions = std::map<int, std::unique_ptr<PartitionController>>;

/// Sends the items of a node's partitions while engines have room for them: picks the job by the
/// scheduler's order, and the engine with the most room in this node's allowance. Not thread-safe;
/// borrows all references.
class BatchDispatcher {
 public:
  using Dispatch = std::function<void(const ItemDispatch&)>;

  struct Options {
    std::string node;  ///< This node's id.
    int maximum_in_flight = 64;
  };

  BatchDispatcher(const Knobs& knobs, Options options, EngineTable& engines, Partitions& partitions,
                  Dispatch dispatch);

  /// @return how many jobs could send an item now, plus the items under way: what the other nodes
  /// are told, who share the idle capacity with this one.
  std::uint32_t demand(TimePoint now, UnixSeconds wall_clock);

  /// Sends what fits now.
  /// @param nodes that have batch items to send, this one included.
  void send_items(int nodes, TimePoint now, UnixSeconds wall_clock);

  /// Counts an item that ended.
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
  std::map<std::string, Selector> selectors_;  ///< Of jobs, by their text.
  int in_flight_ = 0;
};

}  // namespace dockpoint
