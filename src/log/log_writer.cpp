#include "log/log_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumRecordsPerAppend = 1000;
constexpr std::size_t kMaximumBytesPerAppend = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds kAppendRetryPause{200};

/// Copies the records at the front of the queue that fit into one append.
std::vector<std::string> next_batch(const std::deque<std::string>& waiting) {
  std::vector<std::string> records;
  std::size_t bytes = 0;
  for (const std::string& record : waiting) {
    bytes += record.size();
    const bool full = records.size() >= kMaximumRecordsPerAppend || bytes > kMaximumBytesPerAppend;
    if (full && !records.empty()) {
      break;
    }
    records.push_back(record);
  }
  return records;
}

}  // namespace

LogWriter::LogWriter(LogClient& log, int threads)
    : Part("log-writer"), log_(log), threads_(threads) {}

void LogWriter::append(const std::string& stream, std::string record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Queue& queue = queues_[stream];
  queue.records.push_back(std::move(record));
  ++unconfirmed_;
  if (queue.records.size() == 1 && !queue.write_in_progress) {
    ready_.push_back(stream);
    changed_.notify_one();
  }
}

void LogWriter::run(std::stop_token stop) {
  std::vector<std::jthread> workers;
  workers.reserve(static_cast<std::size_t>(threads_));
  for (int index = 0; index < threads_; ++index) {
    workers.emplace_back([this, stop] { run_worker(stop); });
  }
}

void LogWriter::run_worker(std::stop_token stop) {
  while (true) {
    std::string stream;
    std::vector<std::string> records;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (!changed_.wait(lock, stop, [this] { return !ready_.empty(); })) {
        return;
      }
      stream = ready_.front();
      ready_.pop_front();
      Queue& queue = queues_[stream];
      queue.write_in_progress = true;
      records = next_batch(queue.records);
    }
    const bool confirmed = write(stream, records);
    if (!confirmed) {
      std::this_thread::sleep_for(kAppendRetryPause);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    Queue& queue = queues_[stream];
    queue.write_in_progress = false;
    if (confirmed) {
      queue.records.erase(queue.records.begin(),
                          queue.records.begin() + static_cast<std::ptrdiff_t>(records.size()));
      unconfirmed_ -= records.size();
    }
    if (!queue.records.empty()) {
      ready_.push_back(stream);
      changed_.notify_one();
    }
  }
}

bool LogWriter::write(const std::string& stream, const std::vector<std::string>& records) {
  const std::optional<Error> error = error_of([&] { return log_.append(stream, records); });
  if (error) {
    spdlog::warn("log: Append not confirmed, retrying; stream={} records={} reason={}", stream,
                 records.size(), error->message);
  }
  return !error;
}

std::size_t LogWriter::unconfirmed() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return unconfirmed_;
}

}  // namespace dockpoint
