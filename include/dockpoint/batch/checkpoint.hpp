#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/batch/records.hpp"

/// Checkpoints of a partition's folded state, stored in a separate stream.
///
/// A snapshot is split into chunks because the log limits the record size. Several nodes may write
/// concurrently, so chunks of different checkpoints can be interleaved, and a writer may crash
/// between chunks. A reader therefore uses the newest complete checkpoint.
namespace dockpoint {

struct CheckpointChunk {
  Offset covers = 0;         ///< The snapshot folds all records below this offset.
  std::uint64_t writer = 0;  ///< Unique per node process.
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string bytes;
  DOCKPOINT_FIELDS(covers, writer, index, count, bytes)
};

/// Splits a snapshot into records of at most `chunk_bytes` of payload plus a small header.
std::vector<std::string> make_checkpoint_records(Offset covers, std::uint64_t writer,
                                                 const std::string& snapshot,
                                                 std::size_t chunk_bytes);

/// @param records consecutive records of a checkpoint stream, oldest first.
/// @return the snapshot of the newest complete checkpoint, or nothing if there is none.
std::optional<std::string> assemble_checkpoint(const std::vector<std::string>& records);

}  // namespace dockpoint
