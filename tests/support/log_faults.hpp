#pragma once

#include <random>

#include "emulator/memory_log.hpp"

namespace dockpoint::test {

/// @return randomly drawn faults of a log: unreachable, silent, losing answers or delaying appends.
MemoryLogFaults draw_log_faults(std::mt19937_64& random);

}  // namespace dockpoint::test
