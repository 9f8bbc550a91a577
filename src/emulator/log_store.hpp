#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "log/log_client.hpp"

namespace dockpoint::emulator {

/// Holds the records of all streams in memory. Thread-safe.
class LogStore {
 public:
  /// @return the offset of the first record.
  std::uint64_t append(const std::string& stream, const std::vector<std::string>& records);

  /// Reads up to `limit` records and about 8 MiB; waits up to `wait` for the first one.
  LogPage read(const std::string& stream, std::uint64_t from, std::size_t limit,
               std::chrono::milliseconds wait);

 private:
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, std::vector<std::string>> streams_;
};

}  // namespace dockpoint::emulator
