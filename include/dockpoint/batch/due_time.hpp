#pragma once

#include <cstdint>
#include <optional>

#include "dockpoint/core/knobs.hpp"

/// Due time and retention of batch items. Performs no I/O and reads no clock: the caller passes the
/// wall-clock time, which may be off by up to `Knobs::clock_error` on each node.
namespace dockpoint {

/// The time by which an item has to be completed.
struct DueTime {
  std::int64_t at_ms = 0;       ///< Unix time in milliseconds.
  std::int64_t allowed_ms = 0;  ///< Time from the job's submission to the due time.

  /// @return whether the due time has passed.
  bool overdue(std::int64_t now_ms) const { return now_ms > at_ms; }
  /// @return whether less than `Knobs::batch_urgent_time` of the allowed time is left.
  bool urgent(const Knobs& knobs, std::int64_t now_ms) const;
};

/// @return the due time of an item whose job was submitted at `submitted_ms` (unix time) and has
/// the completion target `target`.
DueTime due_time(std::int64_t submitted_ms, Duration target);

/// An unfinished item may be given up once `retention` has passed since its submission. The
/// clocks of the accepting node and of this node may both be off, so twice the clock error is
/// added.
/// @return the Unix time, in milliseconds, after which it may be given up; nothing if `retention`
/// is zero.
std::optional<std::int64_t> expiry_time(const Knobs& knobs, std::int64_t submitted_ms,
                                        Duration retention);

}  // namespace dockpoint
