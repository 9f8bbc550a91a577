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

/// Appends records in the background, in the order of calls within each stream, and retries an
/// append until the log confirms it. Records may therefore be in the log twice; the folds that read
/// them ignore duplicates. Queued records of one stream are appended in batches.
class LogWriter : public Part {
 public:
  /// @param threads number of streams written concurrently.
  LogWriter(LogClient& log, int threads);

  void append(const std::string& stream, std::string record);

  void run(std::stop_token stop) override;

  /// @return the number of records not confirmed yet.
  std::size_t unconfirmed() const;

 private:
  struct Queue {
    std::deque<std::string> records;
    bool write_in_progress = false;
  };

  void run_worker(std::stop_token stop);
  bool write(const std::string& stream, const std::vector<std::string>& records);

  LogClient& log_;
  const int threads_;
  mutable std::mutex mutex_;
  std::condition_variable_any changed_;
  std::map<std::string, Queue> queues_;
  std::deque<std::string> ready_;  ///< Streams with queued records that no thread is writing.
  std::size_t unconfirmed_ = 0;
};

}  // namespace dockpoint
