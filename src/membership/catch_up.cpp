#include "dockpoint/membership/catch_up.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {

void CatchUp::set_own_position(const FleetPosition& known) {
  known_ = known;
  if (!known_.behind(furthest_peer_)) {
    behind_since_ = {};
  }
}

void CatchUp::record_peer_position(const FleetPosition& peer, const std::string& address,
                                   TimePoint now) {
  furthest_peer_.version = std::max(furthest_peer_.version, peer.version);
  furthest_peer_.replicas = std::max(furthest_peer_.replicas, peer.replicas);
  furthest_peer_.operator_records =
      std::max(furthest_peer_.operator_records, peer.operator_records);
  const bool peer_has_newer_records = known_.behind(peer);
  if (peer_has_newer_records && behind_since_ == TimePoint{}) {
    behind_since_ = now;
  }
  if (peer_has_newer_records || peer.version > known_.version) {
    peer_ahead_ = address;
  }
}

bool CatchUp::behind(TimePoint now) const {
  const bool lag_exceeded =
      behind_since_ != TimePoint{} && now - behind_since_ > budget_.peer_lag();
  return lag_exceeded || furthest_peer_.version > known_.version;
}

std::optional<std::string> CatchUp::next_peer_to_query(TimePoint now, bool follows,
                                                       const Candidates& candidates) {
  if (query_in_flight_) {
    return std::nullopt;
  }
  std::optional<std::string> address;
  if (!peer_ahead_.empty() && behind(now)) {
    address = std::exchange(peer_ahead_, {});
  } else if (!follows && now >= next_rotation_at_) {
    address = rotate_candidate(candidates);
    next_rotation_at_ = now + budget_.question_interval();
  }
  query_in_flight_ = address.has_value();
  return address;
}

std::optional<std::string> CatchUp::rotate_candidate(const Candidates& candidates) {
  // Traffic between zones is expensive, but all nodes of a zone may lack the state: every second
  // query may go to any zone.
  const bool own_zone = rotation_queries_++ % 2 == 0;
  std::vector<std::string> addresses = candidates(own_zone);
  if (addresses.empty() && own_zone) {
    addresses = candidates(false);
  }
  if (addresses.empty()) {
    return std::nullopt;
  }
  return addresses[next_candidate_++ % addresses.size()];
}

}  // namespace dockpoint
