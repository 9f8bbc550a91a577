#include "dockpoint/core/decaying_count.hpp"

#include <algorithm>
#include <cmath>

namespace dockpoint {

void DecayingCount::add(TimePoint now, double weight) {
  count_ = value(now) + weight;
  last_ = now;
}

double DecayingCount::value(TimePoint now) const {
  if (count_ <= 0) {
    return 0;
  }
  const std::chrono::duration<double> age = std::max(now - last_, Duration{});
  return count_ * std::exp(-age.count() / std::chrono::duration<double>(memory_).count());
}

double DecayingCount::per_second(TimePoint now) const {
  return value(now) / std::chrono::duration<double>(memory_).count();
}

}  // namespace dockpoint
