#include "gateway/replica_attempt.hpp"

#include <utility>

namespace dockpoint {

void ReplicaAttempt::start(const Replica& replica, std::string bytes, double missing_tokens,
                           net::CallObserver& observer) {
  replica_ = replica.record.id;
  last_replica_ = replica_;
  prefill_tokens_ = missing_tokens;
  context_.replicas.started(replica_, traffic_, prefill_tokens_);
  net::CallOptions options;
  options.connect_timeout = context_.knobs.replica_connect_timeout;
  options.maximum_idle = context_.knobs.replica_connection_idle;
  call_ = context_.client.start(endpoint_of(replica.record), std::move(bytes), options, observer);
}

std::optional<ReplicaAnswer> ReplicaAttempt::take_head(const net::ResponseHead& head,
                                                       const std::string& id, TimePoint now) {
  const ReplicaAnswer answer = context_.protocol.read_answer(head, id);
  if (!answer.belongs) {
    return std::nullopt;
  }
  note_prefilled();
  if (answer.load) {
    context_.replicas.report(replica_, *answer.load, now);
  }
  if (answer.wrong_replica) {
    context_.replicas.remove(replica_);
  }
  return answer;
}

void ReplicaAttempt::signal(ReplicaSignal signal, TimePoint now) {
  context_.replicas.signal(replica_, signal, now);
}

void ReplicaAttempt::end() {
  if (replica_.empty()) {
    return;
  }
  if (call_) {
    call_->cancel();
    call_.reset();
  }
  note_prefilled();
  context_.replicas.ended(replica_, traffic_);
  replica_.clear();
}

void ReplicaAttempt::note_prefilled() {
  context_.replicas.prefilled(replica_, std::exchange(prefill_tokens_, 0));
}

}  // namespace dockpoint
