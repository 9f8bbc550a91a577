#pragma once

#include <map>
#include <optional>
#include <string>

#include "dockpoint/core/time.hpp"

/// Decides which new requests a node still accepts after it was asked to stop.
///
/// A request that is accepted has to be answered before the process exits; one that is refused is
/// served at another node, for one more round trip. While callers may still use an address that
/// they resolved before the node left, the node accepts what usually ends in time. After that it
/// accepts only requests whose own time limit ends before the exit. What does not end in time after
/// all gets a final answer just before the exit.
namespace dockpoint {

/// Longest recent answers of each route. Not thread-safe.
class AnswerTimes {
 public:
  /// Records that an answer of `route` was complete after `took`, or that its request timed out.
  void record(const std::string& route, Duration took, TimePoint now);

  /// @return the longest answer of the last one to two windows, or nothing without any.
  std::optional<Duration> longest(const std::string& route, TimePoint now) const;

 private:
  /// Two consecutive windows, so that one outlier is forgotten after a while.
  struct Windows {
    TimePoint began{};
    Duration current{};
    Duration previous{};
  };
  static Windows advanced(Windows windows, TimePoint now);

  std::map<std::string, Windows> routes_;
};

/// The shutdown of a node, see the top of this file.
class StopAdmission {
 public:
  /// Begins the shutdown. @param exit_at when the process exits at the latest.
  /// @param addresses_valid_until until then callers may use an address resolved before.
  void begin(TimePoint exit_at, TimePoint addresses_valid_until);

  bool stopping() const { return exit_at_.has_value(); }

  /// @return whether a request that arrives at `now` is accepted; always while the node runs.
  /// @param limit when the request is answered at the latest.
  /// @param usual longest usual time to its answer; if not known, only `limit` counts.
  bool accepts(TimePoint now, TimePoint limit, std::optional<Duration> usual) const;

  /// @return whether an answer to what is sent at `now` is expected before the exit; always while
  /// the node runs. For requests that were accepted, before they are sent again.
  bool ends_in_time(TimePoint now, TimePoint limit, std::optional<Duration> usual) const;

  /// @return whether requests under way have to get a final answer now, since the process exits
  /// before theirs can be delivered.
  bool final_answers_due(TimePoint now) const;

 private:
  /// @return when the last answer of a replica has to be there.
  TimePoint last_answer_at() const;

  std::optional<TimePoint> exit_at_;
  TimePoint addresses_valid_until_{};
};

}  // namespace dockpoint
