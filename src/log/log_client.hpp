#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Records of one stream, as returned by one read.
struct LogPage {
  std::uint64_t first = 0;           ///< Offset of the first record.
  std::vector<std::string> records;  ///< At consecutive offsets.
  std::uint64_t end = 0;             ///< Offset of the next append.
};

/// Client of the platform's append-only log. A stream is created by its first append.
///
/// Calls block and may be made from several threads concurrently.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends records in order; the platform may store part of them and lose the answer.
  /// @return the offset of the first record.
  virtual Result<std::uint64_t> append(const std::string& stream,
                                       const std::vector<std::string>& records) = 0;

  /// Reads up to `limit` records from `from`; waits up to `wait` if there are none yet.
  virtual Result<LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
                               std::chrono::milliseconds wait) = 0;
};

}  // namespace dockpoint
