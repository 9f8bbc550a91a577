#include "dockpoint/membership/digest_collector.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dockpoint {

DigestCollector::DigestCollector(std::string zone) : zone_(std::move(zone)) {}

void DigestCollector::add(std::uint32_t node, bool log_reachable, std::string bytes) {
  heartbeats_[node] = log_reachable;
  const auto [waiting, added] = waiting_.try_emplace(node, Waiting{added_, {}});
  waiting->second.bytes = std::move(bytes);
  ++added_;
}

LoadCollection DigestCollector::next(std::size_t maximum_bytes) {
  LoadCollection collection{zone_, false, {}, {}, {}};
  for (const auto& [node, log_reachable] : heartbeats_) {
    (log_reachable ? collection.reaching_log : collection.cut_off).push_back(node);
  }
  std::vector<std::pair<std::uint64_t, std::uint32_t>> order;
  for (const auto& [node, waiting] : waiting_) {
    order.emplace_back(waiting.since, node);
  }
  std::sort(order.begin(), order.end());
  std::size_t size = collection_overhead(zone_, heartbeats_.size());
  for (const auto& [since, node] : order) {
    const auto waiting = waiting_.find(node);
    const std::size_t added = waiting->second.bytes.size() + kDigestOverhead;
    // At least one digest is forwarded, even if the heartbeats or the digest itself exceed the
    // limit.
    if (size + added > maximum_bytes && !collection.digests.empty()) {
      break;
    }
    size += added;
    collection.digests.push_back(std::move(waiting->second.bytes));
    waiting_.erase(waiting);
  }
  heartbeats_.clear();
  return collection;
}

}  // namespace dockpoint
