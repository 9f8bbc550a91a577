#pragma once

#include <random>

#include "emulator/memory_log.hpp"

namespace dockpoint::test {

/// @return faults of a log drawn at random: away, silent, losing answers or appending late.
MemoryLogFaults draw_log_faults(std::mt19937_64& random);

}  // namespace dockpoint::test
