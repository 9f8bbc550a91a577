#include "gateway/record_server.hpp"

#include "dockpoint/core/hash.hpp"

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

RecordCache::Filter RecordServer::filter_of(const RecordQuestion& question,
                                            const CachedPartition& kept) const {
  if (question.whole || !kept.parts) {
    return {};
  }
  return [this, hash = hash64(question.node)](const KeyedRecord& record) {
    return belongs_(hash, record);
  };
}

void RecordServer::respond(const Reply& reply, const CachedPartition& kept,
                           const RecordQuestion& question, RecordAnswer answer) {
  answer.age_ms = static_cast<std::uint64_t>(to_ms(standing_(question.partition).age));
  if (kept.parts && !question.whole) {
    answer.counts = counts_();
  }
  reply(answer);
}

void RecordServer::serve(const RecordQuestion& question, TimePoint received, Reply reply) {
  const auto kept = cached_partitions_.find(question.partition);
  if (kept == cached_partitions_.end() || !kept->second.records.loaded()) {
    reply(std::nullopt);
    return;
  }
  if (!question.follows) {
    const RecordCache& records = kept->second.records;
    respond(reply, kept->second, question,
            answer_of(records.newest(question.after_key, filter_of(question, kept->second))));
    return;
  }
  const WaitingRead waiting{question, received + question.wait, std::move(reply)};
  if (try_read(waiting, received)) {
    return;
  }
  if (waiting_.size() >= kMaxWaitingReads) {
    waiting.reply(std::nullopt);
    return;
  }
  waiting_.push_back(waiting);
}

bool RecordServer::try_read(const WaitingRead& waiting, TimePoint now) {
  const auto kept = cached_partitions_.find(waiting.question.partition);
  const bool confirmed = standing_(waiting.question.partition).state == WatchState::kFollowing;
  if (kept == cached_partitions_.end() || !kept->second.records.loaded() || !confirmed) {
    waiting.reply(std::nullopt);
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
  respond(waiting.reply, kept->second, waiting.question, answer_of(outcome));
  return true;
}

void RecordServer::tick(TimePoint now) {
  waiting_.remove_if([&](const WaitingRead& waiting) { return try_read(waiting, now); });
}

}  // namespace dockpoint
