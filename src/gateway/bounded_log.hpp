#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dockpoint {

/// Non-blocking log sink with bounded rate and memory: neither a reader that stops reading nor a
/// burst of lines blocks the process. Lines over a bound are dropped and counted; the count is
/// logged as soon as the buffer has room again. Not thread-safe.
class BoundedLog : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// @param descriptor file descriptor to write to; set to non-blocking mode, not closed.
  explicit BoundedLog(int descriptor);

  /// Writes as many buffered bytes as the descriptor accepts; call a few times a second.
  void drain();
  /// @return number of lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { drain(); }

 private:
  const int descriptor_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
  std::int64_t current_second_ = 0;
  int lines_this_second_ = 0;
};

/// Installs a bounded log as spdlog's default logger; each record is one line.
std::shared_ptr<BoundedLog> install_bounded_log(int descriptor);

}  // namespace dockpoint
