#include "dockpoint/batch/item_audit.hpp"

namespace dockpoint {

ItemAudit audit_items(const JobLedger& ledger, const std::set<ItemKey>& scheduled) {
  ItemAudit audit;
  for (const auto& [id, job] : ledger.jobs()) {
    if (job.ended || job.complete()) {
      continue;
    }
    for (std::uint32_t item = 0; item < job.job.items.size(); ++item) {
      if (job.listed[item]) {
        continue;
      }
      ++audit.open;
      if (!scheduled.contains({id, item})) {
        audit.unscheduled.emplace_back(id, item);
      }
    }
  }
  return audit;
}

}  // namespace dockpoint
