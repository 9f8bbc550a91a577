#include "dockpoint/batch/waiting_items.hpp"

namespace dockpoint {

void WaitingItems::add(const std::string& service, const WaitingItem& item) {
  size_ += queues_[service].insert(item).second ? 1 : 0;
}

std::vector<WaitingItem> WaitingItems::remove_if(
    const std::function<bool(const WaitingItem&)>& matches) {
  std::vector<WaitingItem> removed;
  for (auto queue = queues_.begin(); queue != queues_.end();) {
    std::set<WaitingItem>& items = queue->second;
    for (auto item = items.begin(); item != items.end();) {
      if (matches(*item)) {
        removed.push_back(*item);
        item = items.erase(item);
      } else {
        ++item;
      }
    }
    queue = items.empty() ? queues_.erase(queue) : std::next(queue);
  }
  size_ -= removed.size();
  return removed;
}

void WaitingItems::for_each(const std::function<void(const WaitingItem&)>& visit) const {
  for (const auto& [service, items] : queues_) {
    for (const WaitingItem& item : items) {
      visit(item);
    }
  }
}

bool WaitingItems::start_round(const std::string& service, const Knobs& knobs,
                               const BatchShare& share, std::size_t running, std::int64_t now_ms,
                               const std::function<StartOutcome(const WaitingItem&)>& start) {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) {
    return false;
  }
  std::set<WaitingItem>& items = queue->second;
  bool has_room = true;
  // Items that need no slot count too, which bounds the cost of a round.
  for (std::size_t occupied = running; has_room && !items.empty(); ++occupied) {
    const WaitingItem& first = *items.begin();
    const bool urgent = first.due.urgent(knobs, now_ms);
    if (occupied >= (urgent ? share.urgent() : share.non_urgent())) {
      break;
    }
    has_room = start(first) != StartOutcome::kNoRoom;
    if (has_room) {
      items.erase(items.begin());
      --size_;
    }
  }
  if (items.empty()) {
    queues_.erase(queue);
  }
  return !has_room;
}

std::vector<std::string> WaitingItems::services() const {
  std::vector<std::string> names;
  for (const auto& [service, items] : queues_) {
    names.push_back(service);
  }
  return names;
}

std::size_t WaitingItems::size_of(const std::string& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

}  // namespace dockpoint
