#include "dockpoint/membership/witnesses.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

std::vector<const Member*> select_witnesses(std::uint64_t key,
                                            const std::vector<const Member*>& members,
                                            Capability capability, std::size_t count) {
  std::vector<std::pair<std::uint64_t, const Member*>> scores;
  for (const Member* member : members) {
    if (member->is_capable_of(capability)) {
      scores.emplace_back(hash64(member->id, key), member);
    }
  }
  const std::size_t selected = std::min(count, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(selected),
                    scores.end(), std::greater<>());
  std::vector<const Member*> witnesses;
  for (std::size_t index = 0; index < selected; ++index) {
    witnesses.push_back(scores[index].second);
  }
  return witnesses;
}

}  // namespace dockpoint
