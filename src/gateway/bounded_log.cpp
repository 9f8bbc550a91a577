#include "gateway/bounded_log.hpp"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>

namespace dockpoint {
namespace {

/// Lines are dropped while the buffer holds more bytes than this.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
/// Buffer size in bytes from which lines are written at once instead of at the next drain().
constexpr std::size_t kImmediateDrainBytes = 8 * 1024;
/// A line below warning level is dropped once this many lines were logged in the same second.
constexpr int kMaxLinesPerSecondBelowWarning = 300;
/// Maximum lines per second of all levels.
constexpr int kMaxLinesPerSecond = 600;

std::int64_t second_of(const spdlog::details::log_msg& message) {
  return std::chrono::duration_cast<std::chrono::seconds>(message.time.time_since_epoch()).count();
}

}  // namespace

BoundedLog::BoundedLog(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void BoundedLog::sink_it_(const spdlog::details::log_msg& message) {
  const std::int64_t second = second_of(message);
  if (second != current_second_) {
    current_second_ = second;
    lines_this_second_ = 0;
  }
  const int limit =
      message.level >= spdlog::level::warn ? kMaxLinesPerSecond : kMaxLinesPerSecondBelowWarning;
  if (lines_this_second_ >= limit || buffer_.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  ++lines_this_second_;
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  buffer_.append(line.data(), line.size());
  if (buffer_.size() >= kImmediateDrainBytes) {
    drain();
  }
}

void BoundedLog::drain() {
  if (dropped_ > dropped_reported_ && buffer_.size() < kMaxBufferedBytes) {
    buffer_ += "log: lines dropped count=" + std::to_string(dropped_ - dropped_reported_) + "\n";
    dropped_reported_ = dropped_;
  }
  while (!buffer_.empty()) {
    const ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

std::shared_ptr<BoundedLog> install_bounded_log(int descriptor) {
  auto sink = std::make_shared<BoundedLog>(descriptor);
  auto logger = std::make_shared<spdlog::logger>("dockpoint", sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(std::move(logger));
  return sink;
}

}  // namespace dockpoint
