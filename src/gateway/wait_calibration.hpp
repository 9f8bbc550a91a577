#pragma once

#include <string>

#include "dockpoint/core/time.hpp"

/// Whether the waits that a node expects at replicas can be believed.
///
/// Load pattern: load rises in steps, and a node learns of the others' requests late, so that the
/// wait it expects at a replica may follow or not. Refusals under overload and the choice of a
/// replica go by that wait. An operator compares it here with what followed, class by class: an
/// expectation that is right shows the same errors in each class as in the one without a wait.
namespace dockpoint {

/// An expected wait and what followed.
struct WaitError {
  std::string expected_class;  ///< `0`, `50`, `100`, `200` or `400`: up to so many ms; or `more`.
  Duration error{};            ///< Negative: less time passed than was expected.
};

/// @param expected wait for a slot at the replica, as the choice of the replica had it.
/// @param followed time from sending to the first byte of the answer. It holds what a free replica
/// takes by itself, which is what the class `0` shows.
WaitError wait_error(Duration expected, Duration actual);

}  // namespace dockpoint
