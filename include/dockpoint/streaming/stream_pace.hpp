#pragma once

#include <optional>
#include <string_view>

#include "dockpoint/core/time.hpp"

/// Measures the time between the events of a `text/event-stream`.
namespace dockpoint {

/// Counts the events of one stream without buffering them. Several events may arrive at once, so
/// the time is averaged over the whole stream. Not thread-safe.
class StreamPace {
 public:
  void take(std::string_view bytes, TimePoint now);

  bool begun() const { return events_ > 0; }
  /// @return the mean time between two events, or nothing if the stream is too short.
  std::optional<Duration> step() const;

 private:
  int events_ = 0;
  int first_events_ = 0;  ///< Events completed by the first bytes that complete any.
  bool line_empty_ = false;
  TimePoint first_{};
  TimePoint last_{};
};

}  // namespace dockpoint
