#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "log/log_client.hpp"
#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// Appends records in the background, in the order of calls within each stream, and repeats an
/// append until the log confirms it. Records may therefore stand in the log twice; folds ignore the
/// second. Records of one stream that wait together are appended together.
class LogWriter : public Part {
 public:
  /// @param threads streams that are written to at once.
  LogWriter(LogClient& log, int threads);

  void append(const std::string& stream, std::string record);

  void run(std::stop_token stop) override;

  /// @return records not confirmed yet.
  std::size_t unconfirmed() const;

 private:
  struct Queue {
    std::deque<std::string> records;
    bool being_written = false;
  };

  void work(std::stop_token stop);
  bool write(const std::string& stream, const std::vector<std::string>& records);

  LogClient& log_;
  const int threads_;
  mutable std::mutex mutex_;
  std::condition_variable_any changed_;
  std::map<std::string, Queue> queues_;
  std::deque<std::string> ready_;  ///< Streams with records and no writer.
  std::size_t unconfirmed_ = 0;
};

}  // namespace dockpoint
