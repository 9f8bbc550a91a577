#include "gateway/wait_calibration.hpp"

#include <algorithm>
#include <array>

namespace dockpoint {
namespace {

/// Longest expected waits of the classes.
constexpr std::array<std::chrono::milliseconds, 5> kClassBounds{
    std::chrono::milliseconds(0), std::chrono::milliseconds(50), std::chrono::milliseconds(100),
    std::chrono::milliseconds(200), std::chrono::milliseconds(400)};

std::string class_of(Duration expected) {
  const auto* const bound =
      std::ranges::lower_bound(kClassBounds, expected, std::ranges::less_equal(),
                               [](auto limit) { return Duration(limit); });
  return bound == kClassBounds.end() ? "more" : std::to_string(bound->count());
}

}  // namespace

WaitError wait_error(Duration expected, Duration followed) {
  return {class_of(expected), followed - expected};
}

}  // namespace dockpoint
