#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// Records of one stream, as one read returns them.
struct LogPage {
  std::uint64_t first = 0;           ///< Offset of the first record.
  std::vector<std::string> records;  ///< Consecutive.
  std::uint64_t end = 0;             ///< Offset that the next append will get.
};

/// The platform's append-only log. Streams come into being with their first append.
///
/// Calls block and may be made from several threads at once.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends records in order; the platform may take a part of them and lose the answer.
  /// @return the offset of the first.
  virtual Result<std::uint64_t> append(const std::string& stream,
                                       const std::vector<std::string>& records) = 0;

  /// Reads up to `limit` records from `from`; waits up to `wait` if there are none yet.
  virtual Result<LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
                               std::chrono::milliseconds wait) = 0;
};

}  // namespace dockpoint
