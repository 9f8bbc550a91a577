#include "dockpoint/membership/cell.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/routing/replica_subset.hpp"

namespace dockpoint {

Cell::Cell(std::string node, std::string zone) : node_(std::move(node)), zone_(std::move(zone)) {}

void Cell::update(const std::vector<const Member*>& alive, std::size_t slices,
                  std::size_t undivided_limit) {
  others_.clear();
  const std::size_t own = ReplicaSubset::slice_of(hash64(node_), slices);
  for (const Member* member : alive) {
    if (member->zone == zone_ && member->id != node_ &&
        ReplicaSubset::slice_of(hash64(member->id), slices) == own) {
      others_.push_back(member);
    }
  }
  const bool all_capable = std::all_of(alive.begin(), alive.end(), [](const Member* member) {
    return member->is_capable_of(Capability::kCells);
  });
  divided_ = slices > 1 && alive.size() > undivided_limit && others_.size() < kMaximumMembers &&
             all_capable;
  if (!divided_) {
    others_.clear();
  }
}

bool Cell::contains(const std::string& node) const {
  return std::any_of(others_.begin(), others_.end(),
                     [&](const Member* member) { return member->id == node; });
}

}  // namespace dockpoint
