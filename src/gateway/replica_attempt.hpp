#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "dockpoint/streaming/stream_pace.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/process_check.hpp"

namespace dockpoint {

/// One attempt to run a request or item at a replica: the call, and its share of the replica's load
/// in the directory from start to end. Reusable for the next attempt.
///
/// Single-threaded; borrows the context. The destructor ends an attempt under way.
class ReplicaAttempt {
 public:
  ReplicaAttempt(GatewayContext& context, TrafficClass traffic)
      : context_(context), traffic_(traffic) {}
  ~ReplicaAttempt() { end(); }
  ReplicaAttempt(const ReplicaAttempt&) = delete;
  ReplicaAttempt& operator=(const ReplicaAttempt&) = delete;

  /// Sends `bytes` to the replica. No attempt may be under way. A connection that carried an
  /// earlier attempt is not reused: all attempts have the same id, so answers to them look alike.
  /// @param missing_tokens prompt tokens that are not in the replica's cache and need prefill.
  void start(const Replica& replica, std::string bytes, double missing_tokens,
             net::CallObserver& observer);
  /// Handles the head of an answer: records the reported load, and removes the replica from the
  /// directory if another one has taken over its address. A foreign answer counts as a failure of
  /// the replica, and nothing in it is recorded.
  /// @param id of the request.
  AnswerKind handle_head(const net::ResponseHead& head, const std::string& id, TimePoint now);
  /// Observes bytes of a stream: the interval between its events is a sample of the replica's
  /// pace.
  void observe_stream(std::string_view bytes, TimePoint now);
  /// Reports the pace of a successful run to the directory.
  void note_pace(TimePoint now);
  /// Reports the outcome of the attempt to the directory.
  void signal(ReplicaSignal signal, TimePoint now);
  /// Ends the attempt and closes the connection of an incomplete call. May be called at any time.
  void end();

  /// @return the connections that carried attempts so far.
  const std::set<net::ConnectionNumber>& used_connections() const { return used_connections_; }
  /// Adds connections that carried earlier attempts with the same id.
  void avoid_connections(const std::set<net::ConnectionNumber>& connections) {
    used_connections_.insert(connections.begin(), connections.end());
  }

  bool under_way() const { return !replica_.empty(); }
  /// @return the replica of the attempt under way or, after it, of the last one.
  const std::string& replica() const { return last_replica_; }
  /// Checks whether the process that answered still runs, see `check_process`.
  void check_process(std::weak_ptr<void> owner, std::function<void(ProcessState)> done) const;
  /// @return the call, or null.
  net::Call* call() const { return call_.get(); }

 private:
  /// Removes the prompt tokens from the replica's pending prefill.
  void note_prefilled();
  void note_load(const ReplicaAnswer& answer, TimePoint now);
  void report_foreign_answer(const net::ResponseHead& head, const std::string& id, TimePoint now);

  GatewayContext& context_;
  const TrafficClass traffic_;
  std::string replica_;       ///< Empty between attempts.
  std::string last_replica_;  ///< Kept after the attempt ends.
  ReplicaProcess process_;    ///< Of `last_replica_`.
  net::CallPtr call_;
  std::set<net::ConnectionNumber> used_connections_;
  TimePoint started_at_{};
  StreamPace stream_;
  double prefill_tokens_ = 0;  ///< Counted as the replica's load until the first byte.
};

}  // namespace dockpoint
