#include "dockpoint/routing/removal_grace.hpp"

namespace dockpoint {

void RemovalGrace::log_regained(TimePoint now) {
  reachable_ = true;
  believed_from_ = now + knobs_.removal_grace;
}

bool RemovalGrace::hold(const std::string& replica, TimePoint now) {
  if (reachable_ && now >= believed_from_) {
    return false;
  }
  const TimePoint until = reachable_ ? believed_from_ : now + knobs_.removal_grace;
  held_.try_emplace(replica, until);
  return true;
}

bool RemovalGrace::lapsed_together(std::size_t held, std::size_t known) {
  // Two thirds of a service's replicas bear its load for the grace time; fewer might not.
  constexpr std::size_t kLeastShare = 3;
  return held * kLeastShare > known;
}

std::vector<std::string> RemovalGrace::take_due(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [replica, until] : held_) {
    if (now >= until) {
      due.push_back(replica);
    }
  }
  for (const std::string& replica : due) {
    held_.erase(replica);
  }
  return due;
}

}  // namespace dockpoint
