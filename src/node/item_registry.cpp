#include "node/item_registry.hpp"

namespace dockpoint {

bool ItemRegistry::add(const ItemDispatch& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.emplace(Key{item.partition, item.job, item.item}, Entry{}).second;
}

bool ItemRegistry::mark_sent(const ItemDispatch& item, const SentRequest& sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(Key{item.partition, item.job, item.item});
  if (found == entries_.end() || found->second.cancelled) {
    return false;
  }
  found->second.sent = sent;
  return true;
}

bool ItemRegistry::finish(const ItemDispatch& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto node = entries_.extract(Key{item.partition, item.job, item.item});
  return !node.empty() && node.mapped().cancelled;
}

std::optional<ItemRegistry::SentRequest> ItemRegistry::cancel(int partition, const std::string& job,
                                                              ItemIndex item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(Key{partition, job, item});
  if (found == entries_.end()) {
    return std::nullopt;
  }
  found->second.cancelled = true;
  return found->second.sent;
}

}  // namespace dockpoint
