#include "dockpoint/routing/water_filling.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace dockpoint {

WaterFilling::WaterFilling(std::span<const SlotLoad> replicas, double unseen)
    : expected_(replicas.size(), 0.0) {
  std::vector<std::size_t> by_fill(replicas.size());
  std::iota(by_fill.begin(), by_fill.end(), std::size_t{0});
  const auto fill = [&](std::size_t index) { return replicas[index].load / replicas[index].slots; };
  std::sort(by_fill.begin(), by_fill.end(),
            [&](std::size_t left, std::size_t right) { return fill(left) < fill(right); });
  // Raises the level replica by replica until all requests fit under it.
  double level = 0;
  double width = 0;
  double loaded = 0;
  for (std::size_t rank = 0; rank < by_fill.size(); ++rank) {
    const SlotLoad& replica = replicas[by_fill[rank]];
    if (rank > 0 && level <= fill(by_fill[rank])) {
      break;
    }
    width += replica.slots;
    loaded += replica.load;
    level = (unseen + loaded) / width;
  }
  for (std::size_t index = 0; index < replicas.size(); ++index) {
    expected_[index] = std::max(0.0, level * replicas[index].slots - replicas[index].load);
  }
}

std::vector<std::size_t> WaterFilling::draw(std::size_t count, std::span<const double> preference,
                                            std::mt19937_64& random) const {
  std::vector<double> chances(expected_.size());
  std::transform(expected_.begin(), expected_.end(), preference.begin(), chances.begin(),
                 std::multiplies<>());
  const auto possible = static_cast<std::size_t>(
      std::count_if(chances.begin(), chances.end(), [](double chance) { return chance > 0; }));
  std::vector<std::size_t> drawn;
  while (drawn.size() < std::min(count, possible)) {
    std::discrete_distribution<std::size_t> by_chance(chances.begin(), chances.end());
    const std::size_t index = by_chance(random);
    chances[index] = 0;
    drawn.push_back(index);
  }
  return drawn;
}

}  // namespace dockpoint
