#include "dockpoint/node/placement.hpp"

#include <algorithm>

#include "dockpoint/batch/partition_state.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// @return the member with the highest rendezvous score for `key`, or null.
const Member* highest_score(const std::vector<const Member*>& members, const std::string& key) {
  const auto best =
      std::max_element(members.begin(), members.end(), [&](const auto* left, const auto* right) {
        return rendezvous_score(key, left->id) < rendezvous_score(key, right->id);
      });
  return best == members.end() ? nullptr : *best;
}

}  // namespace

Placement::Placement(const Membership& membership, const EngineTable& engines)
    : membership_(membership), engines_(engines) {}

void Placement::refresh(std::uint64_t revision, int partitions, bool draining) {
  const bool current = membership_version_ == membership_.version() && revision_ == revision &&
                       draining_ == draining;
  if (current) {
    return;
  }
  membership_version_ = membership_.version();
  revision_ = revision;
  draining_ = draining;
  std::vector<const Member*> eligible = membership_.eligible_owners();
  if (draining) {
    std::erase(eligible, &membership_.self());
  }
  owners_.clear();
  for (int partition = 0; revision > 0 && partition < partitions; ++partition) {
    const Member* owner = highest_score(eligible, job_stream(partition));
    owners_.push_back(owner == nullptr ? std::string{} : owner->id);
  }
  const std::vector<const Member*> alive = membership_.alive();
  stewarded_engines_.clear();
  for (const auto& [name, engine] : engines_.all()) {
    const Member* steward = highest_score(alive, name);
    if (steward != nullptr && steward->id == membership_.self().id) {
      stewarded_engines_.push_back(name);
    }
  }
}

const Member* Placement::preferred_owner(int partition) const {
  const auto index = static_cast<std::size_t>(partition);
  const bool known = index < owners_.size() && !owners_[index].empty();
  return known ? membership_.find(owners_[index]) : nullptr;
}

}  // namespace dockpoint
