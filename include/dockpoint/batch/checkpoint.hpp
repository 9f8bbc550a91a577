#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/batch/records.hpp"

/// Checkpoints of a partition's fold, in a stream of their own.
///
/// A snapshot is cut into chunks, since the log bounds the size of a record. Several nodes may
/// write at once, so chunks of different checkpoints can be interleaved, and a writer may die
/// between chunks; a reader takes the newest checkpoint that is whole.
namespace dockpoint {

struct CheckpointChunk {
  Offset covers = 0;         ///< The snapshot is the fold of all records below this offset.
  std::uint64_t writer = 0;  ///< Unique for each run of each node.
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string bytes;
  DOCKPOINT_FIELDS(covers, writer, index, count, bytes)
};

/// Cuts a snapshot into records of at most `chunk_bytes` and a little.
std::vector<std::string> make_checkpoint_records(Offset covers, std::uint64_t writer,
                                                 const std::string& snapshot,
                                                 std::size_t chunk_bytes);

/// @param records consecutive records of a checkpoint stream, the newest last.
/// @return the snapshot of the newest checkpoint that is whole among them.
std::optional<std::string> assemble_checkpoint(const std::vector<std::string>& records);

}  // namespace dockpoint
