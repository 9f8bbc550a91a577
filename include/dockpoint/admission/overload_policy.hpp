#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dockpoint/core/knobs.hpp"

/// Load shedding: refuses requests that the replicas are too busy to answer in time.
///
/// Under overload a queue delays every request, since each one waits behind all admitted before it.
/// A request whose expected wait exceeds a multiple of its route's objective
/// (`Knobs::overload_objectives`) is therefore refused at once, with a jittered retry delay, so
/// that it does not delay the requests that are admitted.
///
/// Callers retry once. A request that has already used part of its time, because it was refused
/// before or met a dead node, is never shed: a late answer is better than none. The full time that
/// callers allow is learnt from the requests of each route.
namespace dockpoint {

/// Inputs to the decision on one request.
struct OverloadInput {
  Duration objective{};      ///< Time to first byte of the route; zero: none.
  Duration time_left{};      ///< Time until the caller's deadline.
  Duration expected_wait{};  ///< Wait at the best replica.
};

/// See the file comment. Performs no I/O and reads no clock; not thread-safe.
class OverloadPolicy {
 public:
  explicit OverloadPolicy(const Knobs& knobs) : knobs_(knobs) {}

  /// Decides whether to shed a request of `route`.
  /// @param spread differs between requests; source of the jitter of the retry delay.
  /// @return the delay after which the caller may retry; nothing if the request is admitted.
  std::optional<Duration> refuse(const std::string& route, const OverloadInput& question,
                                 std::uint64_t spread);

 private:
  const Knobs& knobs_;
  std::map<std::string, Duration> longest_time_left_;  ///< Longest `time_left` seen, by route.
};

}  // namespace dockpoint
