#pragma once

namespace dockpoint {

/// Liveness flag of an object that has pending callbacks. The owner and the callbacks share it; the
/// owner's destructor clears it, so that later callbacks do not touch the destroyed owner.
struct Life {
  bool alive = true;
};

}  // namespace dockpoint
