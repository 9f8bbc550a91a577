#include "gateway/record_server.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/core/hash.hpp"
#include "net/clock.hpp"

namespace dockpoint {

void RecordServer::keep(const TopicPartition& partition, bool parts) {
  cached_partitions_[partition].parts = parts;
}

void RecordServer::replace(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                           LogOffset end) {
  const auto kept = cached_partitions_.find(partition);
  if (kept != cached_partitions_.end()) {
    kept->second.records.replace(records, end);
  }
}

void RecordServer::add(const TopicPartition& partition, const KeyedRecord& record) {
  const auto kept = cached_partitions_.find(partition);
  if (kept != cached_partitions_.end() && kept->second.records.loaded()) {
    kept->second.records.add(record);
  }
}

void RecordServer::refuse(const net::ExchangePtr& exchange) {
  exchange->respond(503, {}, {});  // The requesting node tries another source, or the log.
}

RecordCache::Filter RecordServer::filter_of(const RecordQuestion& question,
                                            const CachedPartition& kept) const {
  if (question.whole || !kept.parts) {
    return {};
  }
  return [this, hash = hash64(question.node)](const KeyedRecord& record) {
    return belongs_(hash, record);
  };
}

void RecordServer::respond(const net::ExchangePtr& exchange, const CachedPartition& kept,
                           const RecordQuestion& question, RecordAnswer answer) {
  answer.age_ms = static_cast<std::uint64_t>(to_ms(standing_(question.partition).age));
  if (kept.parts && !question.whole) {
    answer.counts = counts_();
  }
  exchange->respond(200, {{"Content-Type", "application/msgpack"}}, pack(answer));
}

void RecordServer::serve(const net::ExchangePtr& exchange) {
  const auto question = read_record_target(exchange->request().target);
  if (!question) {
    spdlog::warn("fleet: malformed record request target={}", exchange->request().target);
    exchange->respond(400, {}, {});
    return;
  }
  const auto kept = cached_partitions_.find(question->partition);
  if (kept == cached_partitions_.end() || !kept->second.records.loaded()) {
    refuse(exchange);
    return;
  }
  if (!question->follows) {
    const RecordCache& records = kept->second.records;
    respond(exchange, kept->second, *question,
            answer_of(records.newest(question->after_key, filter_of(*question, kept->second))));
    return;
  }
  const WaitingRead waiting{exchange, *question, exchange->received() + question->wait};
  if (try_read(waiting, exchange->received())) {
    return;
  }
  if (waiting_.size() >= kMaxWaitingReads) {
    refuse(exchange);
    return;
  }
  waiting_.push_back(waiting);
}

bool RecordServer::try_read(const WaitingRead& waiting, TimePoint now) {
  const auto kept = cached_partitions_.find(waiting.question.partition);
  const bool confirmed = standing_(waiting.question.partition).state == WatchState::kFollowing;
  if (kept == cached_partitions_.end() || !kept->second.records.loaded() || !confirmed) {
    refuse(waiting.exchange);
    return true;
  }
  const RecordCache& records = kept->second.records;
  const bool has_new_records = records.end() > waiting.question.from;
  if (!has_new_records && now < waiting.until) {
    return false;
  }
  const ReadOutcome outcome =
      records.read(waiting.question.from, filter_of(waiting.question, kept->second));
  // If all new records belong to other subsets, the read is answered only when its wait expires.
  if (outcome.status == LogStatus::kOk && outcome.records.empty() && now < waiting.until) {
    return false;
  }
  respond(waiting.exchange, kept->second, waiting.question, answer_of(outcome));
  return true;
}

void RecordServer::tick(TimePoint now) {
  waiting_.remove_if([&](const WaitingRead& waiting) { return try_read(waiting, now); });
}

}  // namespace dockpoint
