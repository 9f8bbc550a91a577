#include "dockpoint/log/freshness_budget.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Mean wait of a node in a large fleet: 295 nodes make 236 reads a second of two topics when idle.
constexpr Duration kLongestMeanWait = std::chrono::milliseconds(2500);
/// In a fleet the first read ends on average this much later than a lone node's.
constexpr Duration kFirstReadDelay = std::chrono::milliseconds(50);
/// Jitter of a lone node's wait, in tenths of the longest wait.
constexpr int kLoneJitterTenths = 2;
/// Failures after which timeouts and backoff stop growing: both have reached their maximum by then.
constexpr int kMaxDoublings = 4;

Duration draw_between(Duration shortest, Duration longest, std::mt19937_64& random) {
  std::uniform_int_distribution<std::int64_t> spread(shortest.count(), longest.count());
  return Duration(spread(random));
}

Duration doubled(Duration first, int times, Duration longest) {
  return std::min(first * (1 << std::clamp(times, 0, kMaxDoublings)), longest);
}

}  // namespace

Duration FreshnessBudget::lone_wait() const {
  return bound_ - reserve() - answer() - longest_pause(1) - read_limit(0);
}

Duration FreshnessBudget::longest_wait(std::size_t peers) const {
  const Duration mean_limit = std::max(kLongestMeanWait, lone_wait());
  const Duration longest = 2 * mean_limit - lone_wait();
  return std::min(lone_wait() + kFirstReadDelay * static_cast<std::int64_t>(peers), longest);
}

Duration FreshnessBudget::draw_wait(std::size_t peers, std::mt19937_64& random) const {
  const Duration longest = longest_wait(peers);
  const Duration shortest = std::min(lone_wait(), longest - longest * kLoneJitterTenths / 10);
  return draw_between(shortest, longest, random);
}

Duration FreshnessBudget::read_limit(int failures) const {
  const Duration first = bound_ * 3 / 10;
  const Duration longest = bound_ - reserve() - answer() - bound_ * 3 / 10;
  return doubled(first, failures, longest);
}

Duration FreshnessBudget::longest_pause(int failures) const {
  return doubled(bound_ / 20, failures - 1, bound_ * 3 / 10);
}

Duration FreshnessBudget::draw_pause(int failures, std::mt19937_64& random) const {
  const Duration longest = longest_pause(failures);
  return draw_between(longest / 2, longest, random);
}

Duration FreshnessBudget::greatest_age_following(std::size_t peers) const {
  return longest_wait(peers) + read_limit(0) + longest_pause(1) + answer() + reserve();
}

Duration FreshnessBudget::greatest_age_asking() const {
  return read_limit(kMaxDoublings) + longest_pause(kMaxDoublings + 1) + answer() + reserve();
}

}  // namespace dockpoint
