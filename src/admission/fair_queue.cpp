#include "dockpoint/admission/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace dockpoint {

FairQueue::PushResult FairQueue::push(QueuedRequest request, std::size_t limit) {
  PushResult result;
  if (size_ >= limit) {
    const std::string longest = tenant_with_longest_queue();
    const auto own = tenants_.find(request.tenant);
    const std::size_t own_length = own == tenants_.end() ? 0 : own->second.size();
    if (longest.empty() || own_length + 1 >= tenants_.at(longest).size()) {
      return result;
    }
    result.displaced = tenants_.at(longest).back().id;
    remove(*result.displaced);
  }
  result.accepted = true;
  shares_.activate(request.tenant);
  tenants_[request.tenant].push_back(std::move(request));
  ++size_;
  return result;
}

std::optional<QueuedRequest> FairQueue::pop(const std::function<bool(const QueuedRequest&)>& fits) {
  std::vector<std::string> order;
  for (const auto& [tenant, waiting] : tenants_) {
    order.push_back(tenant);
  }
  std::stable_sort(order.begin(), order.end(), [&](const auto& left, const auto& right) {
    return shares_.virtual_time(left) < shares_.virtual_time(right);
  });
  for (const std::string& tenant : order) {
    std::deque<QueuedRequest>& waiting = tenants_.at(tenant);
    if (!fits(waiting.front())) {
      continue;
    }
    QueuedRequest request = std::move(waiting.front());
    waiting.pop_front();
    --size_;
    shares_.charge(tenant, request.tokens, request.weight);
    remove_if_empty(tenant);
    return request;
  }
  return std::nullopt;
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (const auto& [tenant, waiting] : tenants_) {
    std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(expired),
                 [now](const QueuedRequest& request) { return request.deadline <= now; });
  }
  for (const QueuedRequest& request : expired) {
    remove(request.id);
  }
  return expired;
}

bool FairQueue::remove(std::uint64_t id) {
  for (auto& [tenant, waiting] : tenants_) {
    const auto found =
        std::find_if(waiting.begin(), waiting.end(),
                     [id](const QueuedRequest& request) { return request.id == id; });
    if (found == waiting.end()) {
      continue;
    }
    waiting.erase(found);
    --size_;
    remove_if_empty(std::string(tenant));
    return true;
  }
  return false;
}

std::size_t FairQueue::ahead_of(const std::string& tenant) const {
  const auto own = tenants_.find(tenant);
  const std::size_t own_length = own == tenants_.end() ? 0 : own->second.size();
  const std::size_t turns = (own_length + 1) * std::max<std::size_t>(1, tenants_.size());
  return std::min(size_, turns);
}

std::string FairQueue::tenant_with_longest_queue() const {
  const auto longest = std::max_element(
      tenants_.begin(), tenants_.end(),
      [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
  return longest == tenants_.end() ? std::string{} : longest->first;
}

void FairQueue::remove_if_empty(const std::string& tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end() && found->second.empty()) {
    tenants_.erase(found);
    shares_.deactivate(tenant);
  }
}

}  // namespace dockpoint
