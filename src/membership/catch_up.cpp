#include "dockpoint/membership/catch_up.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {

void CatchUp::set_own_position(const FleetPosition& known) {
  known_ = known;
  if (!known_.behind(furthest_)) {
    behind_since_ = {};
  }
}

void CatchUp::record_peer_position(const FleetPosition& peer, const std::string& address,
                                   TimePoint now) {
  furthest_.version = std::max(furthest_.version, peer.version);
  furthest_.replicas = std::max(furthest_.replicas, peer.replicas);
  furthest_.operator_records = std::max(furthest_.operator_records, peer.operator_records);
  const bool further = known_.behind(peer);
  if (further && behind_since_ == TimePoint{}) {
    behind_since_ = now;
  }
  if (further || peer.version > known_.version) {
    ahead_ = address;
  }
}

bool CatchUp::behind(TimePoint now) const {
  const bool lags = behind_since_ != TimePoint{} && now - behind_since_ > budget_.peer_lag();
  return lags || furthest_.version > known_.version;
}

std::optional<std::string> CatchUp::next_peer_to_query(TimePoint now, bool follows,
                                                       const Candidates& candidates) {
  if (asking_) {
    return std::nullopt;
  }
  std::optional<std::string> address;
  if (!ahead_.empty() && behind(now)) {
    address = std::exchange(ahead_, {});
  } else if (!follows && now >= next_in_turn_) {
    address = candidate_in_turn(candidates);
    next_in_turn_ = now + budget_.question_interval();
  }
  asking_ = address.has_value();
  return address;
}

std::optional<std::string> CatchUp::candidate_in_turn(const Candidates& candidates) {
  // Bytes between zones are dear, but a zone may know nothing as a whole: every second question
  // goes to any zone.
  const bool own_zone = questions_++ % 2 == 0;
  std::vector<std::string> addresses = candidates(own_zone);
  if (addresses.empty() && own_zone) {
    addresses = candidates(false);
  }
  if (addresses.empty()) {
    return std::nullopt;
  }
  return addresses[turn_++ % addresses.size()];
}

}  // namespace dockpoint
