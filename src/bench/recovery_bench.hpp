#pragma once

#include <vector>

namespace dockpoint::bench {

/// Measures what a new owner reads and computes to take over a partition that holds one job, from
/// a checkpoint and from the whole history, for several sizes of the job. The log's own latency
/// and transfer time come on top of both.
void run_recovery_bench(const std::vector<int>& items);

}  // namespace dockpoint::bench
