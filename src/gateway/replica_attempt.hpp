#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_context.hpp"

namespace dockpoint {

/// One request or item at a replica: the call, and what it counts as in the directory from its
/// start until it ends. Used again for the next attempt.
///
/// Single-threaded; borrows the context. An attempt under way ends with its object.
class ReplicaAttempt {
 public:
  ReplicaAttempt(GatewayContext& context, TrafficClass traffic)
      : context_(context), traffic_(traffic) {}
  ~ReplicaAttempt() { end(); }
  ReplicaAttempt(const ReplicaAttempt&) = delete;
  ReplicaAttempt& operator=(const ReplicaAttempt&) = delete;

  /// Sends `bytes` to the replica. No attempt may be under way.
  /// @param missing_tokens of the prompt that the replica has to read.
  void start(const Replica& replica, std::string bytes, double missing_tokens,
             net::CallObserver& observer);
  /// Takes the head of an answer: notes the load that it states, and a replica that is not the one
  /// it was sent to.
  /// @param id of the request. @return nothing if the answer belongs to another request.
  std::optional<ReplicaAnswer> take_head(const net::ResponseHead& head, const std::string& id,
                                         TimePoint now);
  /// Tells the directory how it went.
  void signal(ReplicaSignal signal, TimePoint now);
  /// Ends it; the connection of a call that is not complete is closed. May be called at any time.
  void end();

  bool under_way() const { return !replica_.empty(); }
  /// @return the replica of the attempt under way or, after it, of the last one.
  const std::string& replica() const { return last_replica_; }
  /// @return the call, or null.
  net::Call* call() const { return call_.get(); }

 private:
  /// The prompt counts as read.
  void note_prefilled();

  GatewayContext& context_;
  const TrafficClass traffic_;
  std::string replica_;       ///< Empty between attempts.
  std::string last_replica_;  ///< The same, kept.
  net::CallPtr call_;
  double prefill_tokens_ = 0;  ///< Counted at the replica until the first byte.
};

}  // namespace dockpoint
