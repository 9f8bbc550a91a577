#include "node/partition_followers.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dockpoint/batch/checkpoint.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kPageRecords = 2000;
constexpr std::chrono::milliseconds kReadWait{500};
constexpr std::chrono::milliseconds kReadRetryPause{200};
constexpr std::uint64_t kFirstCheckpointWindow = 16;

}  // namespace

void PartitionFollowers::follow(int partition) {
  const std::lock_guard<std::mutex> lock(mutex_);
  wanted_.insert(partition);
  changed_.notify_all();
}

void PartitionFollowers::unfollow(int partition) {
  const std::lock_guard<std::mutex> lock(mutex_);
  wanted_.erase(partition);
  changed_.notify_all();
}

void PartitionFollowers::run(std::stop_token stop) {
  while (!stop.stop_requested()) {
    std::set<int> wanted;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wanted = wanted_;
      const auto differs = [&] {
        return wanted_.size() != threads_.size() ||
               !std::equal(wanted_.begin(), wanted_.end(), threads_.begin(),
                           [](int number, const auto& thread) { return number == thread.first; });
      };
      if (!changed_.wait(lock, stop, differs)) {
        break;
      }
      wanted = wanted_;
    }
    std::erase_if(threads_, [&](auto& thread) { return !wanted.contains(thread.first); });
    for (const int partition : wanted) {
      if (!threads_.contains(partition)) {
        threads_.emplace(partition, std::jthread([this, partition](std::stop_token thread_stop) {
                           read_partition(partition, thread_stop);
                         }));
      }
    }
  }
  for (auto& [partition, thread] : threads_) {
    thread.request_stop();
  }
  threads_.clear();
}

void PartitionFollowers::read_partition(int partition, std::stop_token stop) {
  const std::optional<std::string> snapshot = load_checkpoint(partition, stop);
  if (stop.stop_requested()) {
    return;
  }
  std::uint64_t next = control_->call([&](NodeController& controller, TimePoint) {
    controller.checkpoint_loaded(partition, snapshot);
    return controller.next_offset(partition);
  });
  const std::string stream = job_stream(partition);
  while (!stop.stop_requested()) {
    const TimePoint started = monotonic_now();
    LogPage page;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(page, log_.read(stream, next, kPageRecords, kReadWait));
      return {};
    });
    if (error) {
      std::this_thread::sleep_for(kReadRetryPause);
      continue;
    }
    const bool at_tail = next + page.records.size() >= page.end;
    next = control_->call([&](NodeController& controller, TimePoint now) {
      controller.partition_read(partition, page.first, page.records, at_tail, started, now);
      return controller.next_offset(partition);
    });
  }
}

std::optional<std::string> PartitionFollowers::load_checkpoint(int partition,
                                                               std::stop_token stop) {
  while (!stop.stop_requested()) {
    std::optional<std::string> snapshot;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(snapshot, read_newest_checkpoint(log_, checkpoint_stream(partition)));
      return {};
    });
    if (!error) {
      return snapshot;
    }
    std::this_thread::sleep_for(kReadRetryPause);
  }
  return std::nullopt;
}

Result<std::optional<std::string>> read_newest_checkpoint(LogClient& log,
                                                          const std::string& stream) {
  BOOST_LEAF_AUTO(tail, log.read(stream, 0, 0, std::chrono::milliseconds(0)));
  std::uint64_t window = kFirstCheckpointWindow;
  while (true) {
    const std::uint64_t begin = tail.end - std::min(window, tail.end);
    std::vector<std::string> records;
    while (begin + records.size() < tail.end) {
      BOOST_LEAF_AUTO(page, log.read(stream, begin + records.size(),
                                     static_cast<std::size_t>(tail.end - begin) - records.size(),
                                     std::chrono::milliseconds(0)));
      if (page.records.empty()) {
        break;
      }
      records.insert(records.end(), page.records.begin(), page.records.end());
    }
    std::optional<std::string> snapshot = assemble_checkpoint(records);
    if (snapshot || begin == 0) {
      return snapshot;
    }
    window *= 4;
  }
}

}  // namespace dockpoint
