#include "dockpoint/batch/checkpoint.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "dockpoint/core/codec.hpp"

namespace dockpoint {

std::vector<std::string> make_checkpoint_records(Offset covers, std::uint64_t writer,
                                                 const std::string& snapshot,
                                                 std::size_t chunk_bytes) {
  const std::size_t count =
      std::max<std::size_t>(1, (snapshot.size() + chunk_bytes - 1) / chunk_bytes);
  std::vector<std::string> records;
  for (std::size_t index = 0; index < count; ++index) {
    CheckpointChunk chunk;
    chunk.covers = covers;
    chunk.writer = writer;
    chunk.index = static_cast<std::uint32_t>(index);
    chunk.count = static_cast<std::uint32_t>(count);
    chunk.bytes = snapshot.substr(index * chunk_bytes, chunk_bytes);
    records.push_back(pack(chunk));
  }
  return records;
}

std::optional<std::string> assemble_checkpoint(const std::vector<std::string>& records) {
  using Key = std::pair<Offset, std::uint64_t>;
  std::map<Key, std::map<std::uint32_t, std::string>> partial;
  std::optional<Key> best;
  for (const std::string& record : records) {
    std::optional<CheckpointChunk> chunk = unpack<CheckpointChunk>(record);
    if (!chunk || chunk->index >= chunk->count) {
      continue;
    }
    const Key key{chunk->covers, chunk->writer};
    std::map<std::uint32_t, std::string>& chunks = partial[key];
    chunks[chunk->index] = std::move(chunk->bytes);
    if (chunks.size() == chunk->count && (!best || key > *best)) {
      best = key;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  std::string snapshot;
  for (const auto& [index, bytes] : partial.at(*best)) {
    snapshot += bytes;
  }
  return snapshot;
}

}  // namespace dockpoint
