#include "dockpoint/membership/load_relay.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

LoadRelay::LoadRelay(std::string node, std::string zone, std::size_t direct_limit)
    : node_(std::move(node)), zone_(std::move(zone)), direct_limit_(direct_limit) {}

void LoadRelay::set_members(const std::vector<const Member*>& members) {
  direct_ = members.size() <= direct_limit_;
  all_addresses_.clear();
  zone_addresses_.clear();
  relays_.clear();
  for (const Member* member : members) {
    if (member->id != node_) {
      all_addresses_.push_back(member->peer_address);
      if (member->zone == zone_) {
        zone_addresses_.push_back(member->peer_address);
      }
    }
    relays_[member->zone].push_back({hash64(member->id), member->id, member->peer_address});
  }
  for (auto& [zone, relays] : relays_) {
    const auto kept = std::min(kRelaysOfZone, relays.size());
    const auto end = relays.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(relays.begin(), end, relays.end(),
                      [](const Relay& left, const Relay& right) { return left.rank < right.rank; });
    relays.erase(end, relays.end());
  }
}

bool LoadRelay::relays() const {
  const auto own = relays_.find(zone_);
  return !direct_ && own != relays_.end() &&
         std::any_of(own->second.begin(), own->second.end(),
                     [&](const Relay& relay) { return relay.node == node_; });
}

std::vector<std::string> LoadRelay::next_digest_recipients() {
  if (direct_) {
    return all_addresses_;
  }
  const auto own = relays_.find(zone_);
  if (own == relays_.end()) {
    return {};
  }
  const Relay& relay = own->second[digests_++ % own->second.size()];
  return relay.node == node_ ? std::vector<std::string>{} : std::vector{relay.address};
}

std::vector<std::string> LoadRelay::next_collection_recipients() {
  std::vector<std::string> recipients = zone_addresses_;
  for (const auto& [zone, relays] : relays_) {
    if (zone != zone_) {
      recipients.push_back(relays[collections_ % relays.size()].address);
    }
  }
  ++collections_;
  return recipients;
}

}  // namespace dockpoint
