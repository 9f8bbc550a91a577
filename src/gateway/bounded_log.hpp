#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dockpoint {

/// Log lines on their way to a descriptor, bounded in rate and memory: a reader that stops reading,
/// or a burst of lines, holds nothing up. What does not fit is dropped and counted, and the count
/// is said as soon as lines pass again. Used on one thread.
class BoundedLog : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// @param descriptor is made non-blocking.
  explicit BoundedLog(int descriptor);

  /// Writes what the descriptor takes; call a few times a second.
  void drain();
  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { drain(); }

 private:
  const int descriptor_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
  std::int64_t second_ = 0;
  int lines_this_second_ = 0;
};

/// Makes a bounded log the default of spdlog, with one line a record.
std::shared_ptr<BoundedLog> install_bounded_log(int descriptor);

}  // namespace dockpoint
