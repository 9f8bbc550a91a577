#include "dockpoint/core/sliding_window_count.hpp"

namespace dockpoint {
namespace {

constexpr int kSlotsPerWindow = 25;

}  // namespace

Duration SlidingWindowCount::slot_length() const {
  return length_ / kSlotsPerWindow;
}

void SlidingWindowCount::add(TimePoint now, double weight) {
  if (slots_.empty() || now - slots_.back().begin > slot_length()) {
    slots_.push_back({now, 0});
  }
  slots_.back().count += weight;
  total_ += weight;
}

double SlidingWindowCount::value(TimePoint now) {
  while (!slots_.empty() && now - slots_.front().begin > length_ + slot_length()) {
    total_ -= slots_.front().count;
    slots_.pop_front();
  }
  return total_;
}

}  // namespace dockpoint
