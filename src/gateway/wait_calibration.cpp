#include "gateway/wait_calibration.hpp"

#include <array>

namespace dockpoint {
namespace {

/// Upper bounds of the classes of expected waits.
constexpr std::array<std::chrono::milliseconds, 5> kClassBounds{
    std::chrono::milliseconds(0), std::chrono::milliseconds(50), std::chrono::milliseconds(100),
    std::chrono::milliseconds(200), std::chrono::milliseconds(400)};

std::string class_of(Duration expected) {
  for (const std::chrono::milliseconds bound : kClassBounds) {
    if (expected <= bound) {
      return std::to_string(bound.count());
    }
  }
  return "more";
}

}  // namespace

WaitError wait_error(Duration expected, Duration actual) {
  return {class_of(expected), actual - expected};
}

}  // namespace dockpoint
