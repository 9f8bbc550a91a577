#pragma once

#include <string>

#include "dockpoint/core/time.hpp"

/// Accuracy of the waits that a node expects at replicas.
///
/// Load pattern: load rises in steps, and a node learns of the other nodes' requests with a delay,
/// so the expected wait at a replica may be wrong. Load shedding and the choice of a replica depend
/// on it. This metric lets an operator compare expected and actual waits per class: if the
/// expectation is correct, every class shows the same errors as the class without a wait.
namespace dockpoint {

/// Difference between an expected and an actual wait.
struct WaitError {
  std::string expected_class;  ///< Upper bound in ms: `0`, `50`, `100`, `200`, `400` or `more`.
  Duration error{};            ///< Actual minus expected; negative if shorter than expected.
};

/// @param expected wait for a slot at the replica, as estimated when the replica was chosen.
/// @param actual time from sending to the first byte of the answer. It includes the processing time
/// of an idle replica, which the class `0` shows.
WaitError wait_error(Duration expected, Duration actual);

}  // namespace dockpoint
