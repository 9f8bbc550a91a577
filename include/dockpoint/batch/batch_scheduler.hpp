#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/tenant_shares.hpp"
#include "dockpoint/batch/records.hpp"
#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// A job with an item that is ready to send.
struct BatchCandidate {
  int partition = 0;
  std::string job;
  std::string tenant;
  int weight = 1;
  int priority = 0;
  double slack_seconds = 0;  ///< Time to the deadline minus the expected remaining run time.
};

/// Selects the job that gets the next free slot: first the tenant furthest below its fair share,
/// then the highest priority, then the least slack.
class BatchScheduler {
 public:
  /// @return the chosen candidate, or null if there is none.
  const BatchCandidate* choose(const std::vector<BatchCandidate>& candidates);

  /// Charges one sent item to the candidate's tenant.
  void charge(const BatchCandidate& candidate);

 private:
  TenantShares shares_;
};

/// Computes how many batch sequences one node may run on one engine.
///
/// The engine's idle slots, minus a reserve for online bursts, are split evenly over the nodes that
/// have batch items to send. Each node computes the same split independently from the load digests
/// and the number of such nodes; while views differ, the engine's own priorities resolve conflicts.
/// @param nodes number of nodes with batch items to send, including this one.
int batch_allowance(const Knobs& knobs, const EngineView& engine, const LimitsConfig& limits,
                    const std::string& node, int nodes, TimePoint now);

}  // namespace dockpoint
