#pragma once

#include <optional>
#include <string_view>

#include "dockpoint/core/time.hpp"

/// The time between the events of a `text/event-stream`.
namespace dockpoint {

/// Counts the events of one stream as their bytes pass; keeps none of them. Several events may come
/// at once, so the time is taken over the whole stream. Not thread-safe.
class StreamPace {
 public:
  void take(std::string_view bytes, TimePoint now);

  bool begun() const { return events_ > 0; }
  /// @return the mean time between two events; nothing of a stream too short to tell.
  std::optional<Duration> step() const;

 private:
  int events_ = 0;
  int first_events_ = 0;  ///< That were whole with the first bytes.
  bool line_empty_ = false;
  TimePoint first_{};
  TimePoint last_{};
};

}  // namespace dockpoint
