#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/tenant_shares.hpp"
#include "dockpoint/batch/records.hpp"
#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// A job that has an item to send now.
struct BatchCandidate {
  int partition = 0;
  std::string job;
  std::string tenant;
  int weight = 1;
  int priority = 0;
  double slack_seconds = 0;  ///< Time to the deadline less the time the rest is expected to take.
};

/// Decides which job's item a free place goes to: the tenant furthest behind its share, then the
/// higher priority, then the least slack.
class BatchScheduler {
 public:
  /// @return the chosen candidate, or null if there is none.
  const BatchCandidate* choose(const std::vector<BatchCandidate>& candidates);

  /// Counts an item that was sent.
  void charge(const BatchCandidate& candidate);

 private:
  TenantShares shares_;
};

/// How many batch sequences one node may have on one engine.
///
/// The engine's idle slots, less a reserve for online bursts, are split evenly over the nodes that
/// have batch items to send. Nodes agree on the split without talking, from the load digests and
/// the count of such nodes; where views differ for a moment, the engine's own priorities decide.
/// @param nodes that have batch items to send, this one included.
int batch_allowance(const Knobs& knobs, const EngineView& engine, const LimitsConfig& limits,
                    const std::string& node, int nodes, TimePoint now);

}  // namespace dockpoint
