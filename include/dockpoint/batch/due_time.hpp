#pragma once

#include <cstdint>

#include "dockpoint/core/knobs.hpp"

/// When an item has to be done, and when it may be given up. Free of I/O and clocks: the time of
/// day is handed in, and may be wrong by `Knobs::clock_error` at each node.
namespace dockpoint {

/// When an item has to be done.
struct DueTime {
  std::int64_t at_ms = 0;       ///< Time of day.
  std::int64_t allowed_ms = 0;  ///< From the job's submission until then.

  /// @return whether it is too late.
  bool overdue(std::int64_t now_ms) const { return now_ms > at_ms; }
  /// @return whether only the last part of the time is left.
  bool urgent(const Knobs& knobs, std::int64_t now_ms) const;
};

/// @return when an item is due whose job was submitted at `submitted_ms` and may take `target`.
DueTime due_time(std::int64_t submitted_ms, Duration target);

/// An item may be given up when `retention` has passed since its submission by every clock: the
/// node that took the job and the one that looks now may both be wrong.
/// @return whether it may; never without a retention.
bool retention_expired(const Knobs& knobs, std::int64_t submitted_ms, Duration retention,
                       std::int64_t now_ms);

}  // namespace dockpoint
