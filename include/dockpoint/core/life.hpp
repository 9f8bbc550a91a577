#pragma once

namespace dockpoint {

/// Outlives its owner in the callbacks of calls that are under way, so that they know whether the
/// owner is still there. Shared by both; the owner's destructor ends it.
struct Life {
  bool alive = true;
};

}  // namespace dockpoint
