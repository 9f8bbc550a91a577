#include "dockpoint/batch/missing_route.hpp"

namespace dockpoint {

bool removed_for_good(const MissingRoute& route, const Knobs& knobs) {
  return route.confirmed_at - route.since >= knobs.item_route_grace;
}

}  // namespace dockpoint
