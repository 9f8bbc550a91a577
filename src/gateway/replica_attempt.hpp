#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dockpoint/streaming/stream_pace.hpp"
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
  std::optional<ReplicaAnswer> handle_head(const net::ResponseHead& head, const std::string& id,
                                           TimePoint now);
  /// Takes bytes of a stream that is under way: the time between its events tells the replica's
  /// pace.
  void observe_stream(std::string_view bytes, TimePoint now);
  /// The run has ended well: tells the directory how fast the replica works.
  void note_pace(TimePoint now);
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
  void note_load(const ReplicaAnswer& answer, TimePoint now);

  GatewayContext& context_;
  const TrafficClass traffic_;
  std::string replica_;       ///< Empty between attempts.
  std::string last_replica_;  ///< The same, kept.
  net::CallPtr call_;
  TimePoint started_at_{};
  StreamPace stream_;
  double prefill_tokens_ = 0;  ///< Counted at the replica until the first byte.
};

}  // namespace dockpoint
