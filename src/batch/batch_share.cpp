#include "dockpoint/batch/batch_share.hpp"

#include <algorithm>

namespace dockpoint {
namespace {}  // namespace

double reserved_slots(const Knobs& knobs, int slots) {
  constexpr double kMaxReservedShare = 0.5;
  return std::min(knobs.batch_reserved_slots, kMaxReservedShare * slots);
}

BatchShare::BatchShare(const Knobs& knobs, const FleetLoad& load)
    : tolerance_(knobs.batch_yield_tolerance) {
  const double part = load.all_items > 0 ? std::min(1.0, load.own_items / load.all_items) : 1;
  const double most = knobs.batch_slot_share * load.slots;
  const double left = load.slots - load.reserved - load.online;
  const double non_urgent = std::clamp(left, 0.0, most);
  const auto least = static_cast<std::size_t>(knobs.batch_least_items);
  // The staggered offset rounds fractional slots up on some nodes and down on others, so that the
  // sum over all nodes stays close to the total.
  const auto own = [&](double slots) {
    return std::max(least, static_cast<std::size_t>(slots * part + load.rounding));
  };
  non_urgent_ = own(non_urgent);
  urgent_ = std::max(non_urgent_, own(knobs.batch_urgent_share * load.slots));
}

std::size_t BatchShare::excess(std::size_t running, std::size_t urgent_running) const {
  const auto tolerated = static_cast<std::size_t>(tolerance_ * static_cast<double>(non_urgent_));
  if (running <= tolerated) {
    return 0;
  }
  const std::size_t others = running - std::min(running, urgent_running);
  return std::min(running - non_urgent_, others);
}

}  // namespace dockpoint
