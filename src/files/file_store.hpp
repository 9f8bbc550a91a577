#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>
#include "dockpoint/core/codec.hpp"

#include "dockpoint/batch/records.hpp"
#include "log/log_client.hpp"

/// Uploaded files, stored in the platform's log.
///
/// A file is a sequence of chunk records and a manifest record in one of a fixed number of streams.
/// The file id contains the stream and the manifest's offset, so any node can read any file without
/// an index or state kept between requests.
namespace dockpoint {

/// Metadata of a batch input file.
struct FileManifest {
  std::string filename;
  std::uint64_t bytes = 0;
  ItemIndex items = 0;
  UnixSeconds created_at = 0;
  std::string model;                   ///< The same for every item.
  std::string endpoint;                ///< Request path, the same for every item.
  std::vector<Offset> chunks;          ///< Offsets of the chunk records.
  std::vector<ItemIndex> chunk_items;  ///< First item of each chunk.
  DOCKPOINT_FIELDS(filename, bytes, items, created_at, model, endpoint, chunks, chunk_items)
};

/// One line of a batch input file.
struct BatchFileItem {
  std::string custom_id;
  std::string method;
  std::string url;
  std::string model;
  std::string body;  ///< JSON to send to the engine.
};

/// Parses one line of a batch input file. An error names the invalid field.
Result<BatchFileItem> parse_batch_item(const std::string& line);

/// Reads and writes files. Thread-safe; calls block on log I/O. Borrows the log client.
class FileStore {
 public:
  explicit FileStore(LogClient& log) : log_(log) {}

  /// Validates each line of `in` and writes the lines as a batch input file.
  /// @param maximum_bytes size limit; larger files are rejected.
  /// @return the file id.
  Result<std::string> write(std::istream& in, const std::string& filename,
                            std::uint64_t maximum_bytes, UnixSeconds now);

  /// @return the manifest, or a not-found error.
  Result<FileManifest> manifest(const std::string& id);

  /// @return the line of one item.
  Result<std::string> read_line(const std::string& id, ItemIndex item);

  /// Calls `consume` with the lines of each chunk, in order.
  Result<void> read_all(const std::string& id,
                        const std::function<void(const std::vector<std::string>&)>& consume);

 private:
  using Lines = std::shared_ptr<const std::vector<std::string>>;
  struct CachedChunk {
    std::string key;
    Lines lines;
  };

  Result<std::uint64_t> append(const std::string& stream, const std::string& record);
  Result<std::string> read_record(const std::string& stream, Offset offset);
  Result<Lines> read_chunk(const std::string& stream, Offset offset);

  LogClient& log_;
  std::mutex mutex_;
  std::list<CachedChunk> chunk_cache_;  ///< Most recently used first.
  std::map<std::string, std::shared_ptr<const FileManifest>> manifest_cache_;
};

}  // namespace dockpoint
