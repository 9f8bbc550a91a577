#include "emulator/log_store.hpp"

namespace dockpoint::emulator {
namespace {

constexpr std::size_t kMaximumPageBytes = 8 * 1024 * 1024;

}  // namespace

std::uint64_t LogStore::append(const std::string& stream, const std::vector<std::string>& records) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string>& stored = streams_[stream];
  const std::uint64_t first = stored.size();
  stored.insert(stored.end(), records.begin(), records.end());
  appended_.notify_all();
  return first;
}

LogPage LogStore::read(const std::string& stream, std::uint64_t from, std::size_t limit,
                       std::chrono::milliseconds wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  appended_.wait_for(lock, wait, [&] { return streams_[stream].size() > from; });
  const std::vector<std::string>& stored = streams_[stream];
  LogPage page{from, {}, stored.size()};
  std::size_t bytes = 0;
  for (std::uint64_t offset = from; offset < stored.size() && page.records.size() < limit;
       ++offset) {
    bytes += stored[offset].size();
    if (bytes > kMaximumPageBytes && !page.records.empty()) {
      break;
    }
    page.records.push_back(stored[offset]);
  }
  return page;
}

}  // namespace dockpoint::emulator
