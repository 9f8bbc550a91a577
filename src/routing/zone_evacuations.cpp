#include "dockpoint/routing/zone_evacuations.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {

bool ZoneEvacuations::replace(std::set<std::string> zones, LogOffset position) {
  if (position < position_) {
    return false;
  }
  position_ = position;
  const std::set<std::string> before = std::exchange(zones_, std::move(zones));
  return before != zones_;
}

bool ZoneEvacuations::change(const std::string& zone, bool evacuated, LogOffset offset) {
  if (offset < position_) {
    return false;
  }
  position_ = offset + 1;
  return evacuated ? zones_.insert(zone).second : zones_.erase(zone) > 0;
}

void ZoneEvacuations::advance(LogOffset position) {
  position_ = std::max(position_, position);
}

}  // namespace dockpoint
