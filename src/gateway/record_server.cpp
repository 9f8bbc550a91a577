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

void RecordServer::advance(const TopicPartition& partition, LogOffset end) {
  const auto kept = cached_partitions_.find(partition);
  if (kept != cached_partitions_.end() && kept->second.records.loaded()) {
    kept->second.records.advance(end);
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

void RecordServer::respond(const WaitingRead& read, const CachedPartition& kept,
                           RecordAnswer answer, TimePoint now) {
  answer.age_ms = static_cast<std::uint64_t>(to_ms(standing_(read.question.partition).age));
  answer.held_ms = to_ms(now - read.received);
  if (kept.parts && !read.question.whole) {
    answer.counts = counts_();
  }
  read.reply(answer);
}

bool RecordServer::may_serve(const WatchAge& standing) const {
  return standing.state == WatchState::kFollowing && standing.age <= budget_.longest_served_age();
}

bool RecordServer::gains(const WaitingRead& read, const WatchAge& standing, TimePoint now) const {
  if (!read.question.reader_age) {
    return false;
  }
  const Duration reader_age = *read.question.reader_age + (now - read.received);
  return standing.age + budget_.least_gain() <= reader_age;
}

void RecordServer::serve(const RecordQuestion& question, TimePoint received, Reply reply) {
  const auto kept = cached_partitions_.find(question.partition);
  if (kept == cached_partitions_.end() || !kept->second.records.loaded()) {
    reply(std::nullopt);
    return;
  }
  const WaitingRead read{question, received, std::move(reply)};
  if (!question.follows) {
    const RecordCache& records = kept->second.records;
    respond(read, kept->second,
            answer_of(records.newest(question.after_key, filter_of(question, kept->second))),
            received);
    return;
  }
  if (try_read(read, received)) {
    return;
  }
  if (waiting_.size() >= kMaxWaitingReads) {
    read.reply(std::nullopt);
    return;
  }
  waiting_.push_back(read);
}

bool RecordServer::try_read(const WaitingRead& waiting, TimePoint now) {
  const auto kept = cached_partitions_.find(waiting.question.partition);
  const WatchAge standing = standing_(waiting.question.partition);
  if (kept == cached_partitions_.end() || !kept->second.records.loaded() || !may_serve(standing)) {
    waiting.reply(std::nullopt);
    return true;
  }
  const RecordCache& records = kept->second.records;
  const bool has_new_records = records.end() > waiting.question.from;
  const bool answers_without_records =
      now >= waiting.received + waiting.question.wait || gains(waiting, standing, now);
  if (!has_new_records && !answers_without_records) {
    return false;
  }
  const ReadOutcome outcome =
      records.read(waiting.question.from, filter_of(waiting.question, kept->second));
  // All new records may belong to other subsets.
  const bool is_empty = outcome.status == LogStatus::kOk && outcome.records.empty();
  if (is_empty && !answers_without_records) {
    return false;
  }
  respond(waiting, kept->second, answer_of(outcome), now);
  return true;
}

void RecordServer::tick(TimePoint now) {
  waiting_.remove_if([&](const WaitingRead& waiting) { return try_read(waiting, now); });
}

}  // namespace dockpoint
