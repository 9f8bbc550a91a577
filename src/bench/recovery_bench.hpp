#pragma once

#include <vector>

namespace dockpoint::bench {

/// Measures the bytes read and the time spent by a new owner that takes over a partition with one
/// job, from a checkpoint and from the whole history.
/// The latency and transfer time of the log are not included.
/// @param items job sizes to measure, in items.
void run_recovery_bench(const std::vector<int>& items);

}  // namespace dockpoint::bench
