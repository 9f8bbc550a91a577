#include "gateway/replica_attempt.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "net/clock.hpp"

namespace dockpoint {

void ReplicaAttempt::start(const Replica& replica, std::string bytes, double missing_tokens,
                           net::CallObserver& observer) {
  replica_ = replica.record.id;
  last_replica_ = replica_;
  process_ = process_of(replica.record, context_.client);
  prefill_tokens_ = missing_tokens;
  started_at_ = net::steady_now();
  stream_ = {};
  context_.replicas.started(replica_, traffic_, prefill_tokens_);
  net::CallOptions options;
  options.connect_timeout = context_.knobs.replica_connect_timeout;
  options.maximum_idle = context_.knobs.replica_connection_idle;
  options.avoided_connections = used_connections_;
  // The replica may begin to drain while the connection is set up.
  options.still_wanted = [&replicas = context_.replicas, id = replica_] {
    const Replica* known = replicas.find(id);
    return known != nullptr && replicas.takes_work(*known);
  };
  call_ = context_.client.start(endpoint_of(replica.record), std::move(bytes), options, observer);
}

AnswerKind ReplicaAttempt::handle_head(const net::ResponseHead& head, const std::string& id,
                                       TimePoint now) {
  const ReplicaAnswer answer = context_.protocol.read_answer(head, id);
  if (answer.kind == AnswerKind::kOtherRequest || answer.kind == AnswerKind::kProvisional) {
    return answer.kind;
  }
  note_prefilled();
  if (answer.kind == AnswerKind::kForeign) {
    report_foreign_answer(head, id, now);
    return answer.kind;
  }
  note_load(answer, now);
  if (answer.kind == AnswerKind::kWrongReplica) {
    context_.replicas.remove(replica_);
  }
  return answer.kind;
}

void ReplicaAttempt::report_foreign_answer(const net::ResponseHead& head, const std::string& id,
                                           TimePoint now) {
  context_.metrics.count_foreign_answer(traffic_ == TrafficClass::kBatch ? "batch" : "online");
  spdlog::warn("http: answer is not the replica's own id={} replica={} status={} afterMs={}", id,
               replica_, head.status, to_ms(now - started_at_));
  signal(ReplicaSignal::kBroken, now);
}

void ReplicaAttempt::note_load(const ReplicaAnswer& answer, TimePoint now) {
  if (answer.load) {
    context_.replicas.report(replica_, *answer.load, now);
    if (answer.load->pace_unreadable && context_.replicas.first_unreadable_pace(replica_)) {
      spdlog::warn("fleet: unreadable pace reported by replica ignored replica={}", replica_);
    }
  }
  if (answer.kind == AnswerKind::kNotRun && context_.replicas.turned_away(replica_, now)) {
    context_.metrics.count_full_replica();
  }
}

void ReplicaAttempt::observe_stream(std::string_view bytes, TimePoint now) {
  stream_.take(bytes, now);
}

void ReplicaAttempt::note_pace(TimePoint now) {
  const Replica* replica = context_.replicas.find(replica_);
  if (replica == nullptr || now < replica->cold_until) {
    return;  // The pace of a cold replica does not represent its later pace.
  }
  if (const auto step = stream_.step()) {
    context_.replicas.paces().observed(replica->key, PaceSample::kEvent, *step, now);
  } else if (!stream_.begun()) {
    context_.replicas.paces().observed(replica->key, PaceSample::kRun, now - started_at_, now);
  }
}

void ReplicaAttempt::signal(ReplicaSignal signal, TimePoint now) {
  if (call_ && call_->withdrawn()) {
    return;  // The replica did not fail.
  }
  context_.replicas.signal(replica_, signal, now);
}

void ReplicaAttempt::check_process(std::weak_ptr<void> owner,
                                   std::function<void(ProcessState)> done) const {
  dockpoint::check_process(context_, process_, context_.knobs.answer_end_observation,
                           std::move(owner), std::move(done));
}

void ReplicaAttempt::end() {
  if (replica_.empty()) {
    return;
  }
  if (call_) {
    used_connections_.insert(call_->connection_number());
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
