#include "dockpoint/routing/removal_grace.hpp"

namespace dockpoint {

void RemovalGrace::log_regained(TimePoint now) {
  reachable_ = true;
  believed_from_ = now + knobs_.removal_grace;
}

bool RemovalGrace::defer(const std::string& replica, TimePoint now) {
  if (reachable_ && now >= believed_from_) {
    return false;
  }
  const TimePoint until = reachable_ ? believed_from_ : now + knobs_.removal_grace;
  held_.try_emplace(replica, until);
  return true;
}

bool RemovalGrace::is_mass_expiry(std::size_t held, std::size_t known) {
  // Half of a service's replicas bear much of its load for the grace time; fewer do not.
  return held * 2 > known;
}

std::vector<std::string> RemovalGrace::take_expired(TimePoint now) {
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
