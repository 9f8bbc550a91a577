#include "dockpoint/routing/outlier_detection.hpp"

#include <algorithm>
#include <numeric>

namespace dockpoint {

std::vector<bool> find_outliers(std::span<const double> failures, const Knobs& knobs) {
  std::vector<bool> outliers(failures.size(), false);
  const double sum = std::accumulate(failures.begin(), failures.end(), 0.0);
  for (std::size_t index = 0; index < failures.size() && failures.size() > 1; ++index) {
    // Compares with the mean of the other replicas: the replica's own failures must not raise its
    // limit.
    const double others = (sum - failures[index]) / static_cast<double>(failures.size() - 1);
    const double limit = std::max(knobs.outlier_failures, knobs.outlier_factor * others);
    outliers[index] = failures[index] >= limit;
  }
  const auto found = static_cast<double>(std::count(outliers.begin(), outliers.end(), true));
  if (found > knobs.outlier_share * static_cast<double>(failures.size())) {
    std::fill(outliers.begin(), outliers.end(), false);
  }
  return outliers;
}

}  // namespace dockpoint
