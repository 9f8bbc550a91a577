#include "dockpoint/batch/item_queue.hpp"

#include <algorithm>

namespace dockpoint {

std::optional<ItemIndex> ItemQueue::take(const JobState& job, TimePoint now) {
  const auto ready = std::find_if(waiting_.begin(), waiting_.end(),
                                  [now](const auto& item) { return item.second <= now; });
  if (ready != waiting_.end()) {
    const ItemIndex item = ready->first;
    waiting_.erase(ready);
    if (!job.has_result(item)) {
      in_flight_.insert(item);
      return item;
    }
  }
  skip_finished(job);
  if (cursor_ >= job.spec.items) {
    return std::nullopt;
  }
  const ItemIndex item = cursor_++;
  in_flight_.insert(item);
  return item;
}

bool ItemQueue::has_ready(const JobState& job, TimePoint now) {
  std::erase_if(waiting_, [&](const auto& item) { return job.has_result(item.first); });
  skip_finished(job);
  return cursor_ < job.spec.items ||
         std::any_of(waiting_.begin(), waiting_.end(),
                     [now](const auto& item) { return item.second <= now; });
}

void ItemQueue::retry(ItemIndex item, int attempts, TimePoint now) {
  in_flight_.erase(item);
  attempts_[item] = attempts;
  constexpr int kMaxDoublings = 10;
  const Duration delay = knobs_->item_retry_delay * (1 << std::min(attempts, kMaxDoublings));
  waiting_[item] = now + std::min(delay, knobs_->item_retry_delay_limit);
}

void ItemQueue::requeue(ItemIndex item) {
  in_flight_.erase(item);
  waiting_[item] = TimePoint{};
}

int ItemQueue::attempts(ItemIndex item) const {
  const auto found = attempts_.find(item);
  return found == attempts_.end() ? 0 : found->second;
}

void ItemQueue::skip_finished(const JobState& job) {
  // The recorded attempt of an item beyond the cursor was made by a former owner, so this owner
  // must not send the item.
  while (cursor_ < job.spec.items && (job.has_result(cursor_) || job.attempts.contains(cursor_))) {
    ++cursor_;
  }
}

}  // namespace dockpoint
