#include "bench/recovery_bench.hpp"

#include <chrono>
#include <cstdio>
#include <string>

#include "bench/stopwatch.hpp"
#include "dockpoint/batch/checkpoint.hpp"
#include "dockpoint/batch/partition_state.hpp"

namespace dockpoint::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// A result the size of a short answer.
constexpr std::size_t kResultBytes = 600;
constexpr std::size_t kChunkBytes = 512 * 1024;

std::vector<std::string> make_history(int items) {
  std::vector<std::string> records;
  JobAccepted accepted;
  accepted.epoch = 1;
  accepted.job.id = "batch_0_bench";
  accepted.job.items = static_cast<ItemIndex>(items);
  records.push_back(encode({{1, 1}, OwnershipClaim{1, 0, "node-1", 1}}));
  records.push_back(encode({{1, 2}, accepted}));
  ItemCompleted completed;
  completed.job = accepted.job.id;
  completed.status = 200;
  completed.body = std::string(kResultBytes, 'x');
  for (int item = 0; item < items; ++item) {
    completed.item = static_cast<ItemIndex>(item);
    completed.custom_id = "item-" + std::to_string(item);
    records.push_back(encode({{1, static_cast<std::uint64_t>(item) + 3}, completed}));
  }
  return records;
}

std::size_t total_bytes(const std::vector<std::string>& records) {
  std::size_t bytes = 0;
  for (const std::string& record : records) {
    bytes += record.size();
  }
  return bytes;
}

void measure(int items) {
  const std::vector<std::string> history = make_history(items);
  PartitionState replayed;
  const auto replay_started = SteadyClock::now();
  for (std::size_t offset = 0; offset < history.size(); ++offset) {
    if (const auto record = decode_partition_record(history[offset])) {
      replayed.apply(offset, *record);
    }
  }
  const double replay_ms = milliseconds_since(replay_started);
  const auto snapshot_started = SteadyClock::now();
  const std::string snapshot = replayed.snapshot();
  const double snapshot_ms = milliseconds_since(snapshot_started);
  const std::vector<std::string> checkpoint =
      make_checkpoint_records(replayed.next_offset(), 1, snapshot, kChunkBytes);
  const auto restore_started = SteadyClock::now();
  const auto assembled = assemble_checkpoint(checkpoint);
  const auto restored = PartitionState::restore(*assembled);
  const double restore_ms = milliseconds_since(restore_started);
  const bool same = restored != nullptr && restored->snapshot() == snapshot;
  std::printf("%8d %14.2f %12.1f %14.3f %12.2f %12.2f %6s\n", items,
              static_cast<double>(total_bytes(history)) / 1e6, replay_ms,
              static_cast<double>(total_bytes(checkpoint)) / 1e6, restore_ms, snapshot_ms,
              same ? "yes" : "NO");
}

}  // namespace

void run_recovery_bench(const std::vector<int>& items) {
  std::printf("%8s %14s %12s %14s %12s %12s %6s\n", "items", "history MB", "replay ms",
              "checkpoint MB", "restore ms", "snapshot ms", "same");
  for (const int count : items) {
    measure(count);
  }
}

}  // namespace dockpoint::bench
