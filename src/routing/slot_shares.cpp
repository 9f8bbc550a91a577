#include "dockpoint/routing/slot_shares.hpp"

#include <algorithm>
#include <optional>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Limit per replica: a wrong record with more slots would block the event loop.
constexpr int kMaxSlotsAssigned = 256;

/// Slots of one replica that are assigned together.
struct Unit {
  std::uint64_t hash = 0;
  std::size_t replica = 0;  ///< Index of the replica.
  int slots = 0;
};

std::vector<Unit> units_of(const std::vector<const Replica*>& replicas, int unit_slots) {
  std::vector<Unit> units;
  for (std::size_t index = 0; index < replicas.size(); ++index) {
    const int slots = std::min(replicas[index]->record.slots, kMaxSlotsAssigned);
    for (int first = 0; first < slots; first += unit_slots) {
      const auto number = static_cast<std::uint64_t>(first);
      units.push_back(
          {combine_hash(replicas[index]->key, number), index, std::min(unit_slots, slots - first)});
    }
  }
  // Units are assigned in the order of their hashes, so that few of them are moved by the bound
  // when a replica is added or removed.
  std::sort(units.begin(), units.end(),
            [](const Unit& left, const Unit& right) { return left.hash < right.hash; });
  return units;
}

}  // namespace

void SlotShares::set_holders(std::vector<SlotHolder> holders) {
  if (holders == members_) {
    return;
  }
  members_ = std::move(holders);
  assignments_.clear();
  holders_.clear();
  zones_.clear();
  if (members_.size() < knobs_.slot_share_nodes) {
    return;
  }
  for (const SlotHolder& holder : members_) {
    const auto zone = std::find(zones_.begin(), zones_.end(), holder.zone);
    const auto place = static_cast<std::size_t>(zone - zones_.begin());
    if (zone == zones_.end()) {
      zones_.push_back(holder.zone);
    }
    holders_.push_back({hash64(holder.node), place, holder.node == node_});
  }
}

const std::vector<SlotShare>& SlotShares::shares_for(const std::string& service,
                                                     const ReplicaDirectory& directory) {
  Assignment& assignment = assignments_[service];
  const std::set<std::string>& evacuated = directory.evacuations().zones();
  if (assignment.directory_revision != directory.revision() || assignment.evacuated != evacuated) {
    assignment = {directory.revision(), evacuated, assign_units(directory.ready(service))};
  }
  return assignment.shares;
}

int SlotShares::own_slots() const {
  int slots = 0;
  for (const auto& [service, assignment] : assignments_) {
    for (const SlotShare& share : assignment.shares) {
      slots += share.slots;
    }
  }
  return slots;
}

std::vector<SlotShare> SlotShares::assign_units(const std::vector<const Replica*>& replicas) const {
  const std::vector<Unit> units = units_of(replicas, knobs_.slot_share_unit);
  const bool too_much = units.size() * holders_.size() > knobs_.slot_share_work;
  if (holders_.empty() || units.size() < holders_.size() || too_much) {
    return {};
  }
  // The bound rises by one only after every holder has the units that all can have.
  const std::size_t units_per_holder = units.size() / holders_.size();
  std::size_t assigned = 0;
  std::vector<std::size_t> held(holders_.size(), 0);
  std::vector<int> own(replicas.size(), 0);
  for (const Unit& unit : units) {
    const auto zone = std::find(zones_.begin(), zones_.end(), replicas[unit.replica]->record.zone);
    const auto place = static_cast<std::size_t>(zone - zones_.begin());
    std::optional<std::size_t> best;
    std::pair<bool, std::uint64_t> best_score;
    const std::size_t bound =
        assigned < units_per_holder * holders_.size() ? units_per_holder : units_per_holder + 1;
    ++assigned;
    for (std::size_t index = 0; index < holders_.size(); ++index) {
      if (held[index] >= bound) {
        continue;
      }
      const std::pair<bool, std::uint64_t> score{holders_[index].zone == place,
                                                 combine_hash(unit.hash, holders_[index].hash)};
      if (!best || score > best_score) {
        best = index;
        best_score = score;
      }
    }
    ++held[*best];
    own[unit.replica] += holders_[*best].own ? unit.slots : 0;
  }
  std::vector<SlotShare> shares;
  for (std::size_t index = 0; index < replicas.size(); ++index) {
    if (own[index] > 0) {
      shares.push_back({replicas[index]->key, own[index]});
    }
  }
  return shares;
}

}  // namespace dockpoint
