#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dockpoint/core/knobs.hpp"

/// When a request is refused because the replicas are too busy to answer it in time.
///
/// Under overload a queue makes everybody late: whoever is admitted waits behind all others. A
/// request whose expected wait exceeds a multiple of its route's objective
/// (`Knobs::overload_objectives`) is therefore refused at once, with a time to come back that
/// spreads the returns, so that those who are admitted do not wait behind it.
///
/// Callers come back once. A request that has used a part of its time already, because it was
/// refused before or met a dead node, is never refused for load: late is better than not at all.
/// How much time callers give is learnt from the requests of each route.
namespace dockpoint {

/// What is known of a request that is about to be sent.
struct OverloadInput {
  Duration objective{};      ///< Of the route, to the first byte; zero: none.
  Duration time_left{};      ///< Until the caller gives up.
  Duration expected_wait{};  ///< At the best replica.
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class OverloadPolicy {
 public:
  explicit OverloadPolicy(const Knobs& knobs) : knobs_(knobs) {}

  /// Decides about a request of `route`.
  /// @param spread a number that differs between requests, to spread their returns.
  /// @return when the caller may come back; nothing if the request is admitted.
  std::optional<Duration> refuse(const std::string& route, const OverloadInput& question,
                                 std::uint64_t spread);

 private:
  const Knobs& knobs_;
  std::map<std::string, Duration> longest_time_left_;  ///< That callers gave, a route each.
};

}  // namespace dockpoint
