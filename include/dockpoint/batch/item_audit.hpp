#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/batch/job_ledger.hpp"

/// Compares what an owner owes with what it works on. Each item without a result of a job that has
/// not ended waits, is delayed until a known time, runs, or has a result that is being written.
namespace dockpoint {

/// An item of a partition: the job's id and the item's index.
using ItemKey = std::pair<std::string, std::uint32_t>;

/// Result of an audit.
struct ItemAudit {
  std::size_t open = 0;              ///< Items without a result.
  std::vector<ItemKey> unscheduled;  ///< Of them, those that nothing works on.
};

/// @param scheduled items that wait, are delayed, run, or whose result is being written.
ItemAudit audit_items(const JobLedger& ledger, const std::set<ItemKey>& scheduled);

}  // namespace dockpoint
