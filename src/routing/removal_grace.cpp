#include "dockpoint/routing/removal_grace.hpp"

namespace dockpoint {

void RemovalGrace::log_regained(TimePoint now) {
  reachable_ = true;
  grace_ends_at_ = now + knobs_.removal_grace;
}

bool RemovalGrace::defer(const std::string& replica, TimePoint now) {
  if (reachable_ && now >= grace_ends_at_) {
    return false;
  }
  const TimePoint until = reachable_ ? grace_ends_at_ : now + knobs_.removal_grace;
  deferred_.try_emplace(replica, until);
  return true;
}

bool RemovalGrace::is_mass_expiry(std::size_t held, std::size_t known) {
  // More than half of a service's replicas carry too much of its load to be left unused for the
  // grace period; fewer do not.
  return held * 2 > known;
}

std::vector<std::string> RemovalGrace::take_expired(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [replica, until] : deferred_) {
    if (now >= until) {
      due.push_back(replica);
    }
  }
  for (const std::string& replica : due) {
    deferred_.erase(replica);
  }
  return due;
}

}  // namespace dockpoint
