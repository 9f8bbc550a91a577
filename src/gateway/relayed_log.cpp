#include "gateway/relayed_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dockpoint {
namespace {

/// Sorts after every key that a replica registers under: a load from here returns the end offset of
/// the partition and no records.
constexpr const char* kAfterAllKeys = "~~~~";

/// @param took time from the request to the answer.
/// @param wait longest wait that was asked for.
/// @return how long request and answer were under way.
Duration time_under_way(const RecordAnswer& answer, Duration took, Duration wait) {
  const Duration held = answer.held_ms < 0 ? std::min(took, wait)
                                           : Duration(std::chrono::milliseconds(answer.held_ms));
  return std::max(took - held, Duration{});
}

}  // namespace

RelayedLog::RelayedLog(RecordTransport& transport, PartitionedLog& log, Clock clock,
                       std::vector<TopicPartition> relayed, const std::string& node,
                       std::string zone, Duration bound, Observers observers,
                       const Thresholds& thresholds)
    : transport_(transport),
      log_(log),
      clock_(std::move(clock)),
      relayed_(std::move(relayed)),
      node_(node),
      observers_(std::move(observers)),
      thresholds_(thresholds),
      sources_(node, std::move(zone), bound) {}

RelayedLog::~RelayedLog() {
  *alive_ = false;
}

void RelayedLog::set_members(const std::vector<const Member*>& alive) {
  sources_.update(alive);
  members_known_ = alive.size();
}

void RelayedLog::others_run() {
  if (running_peer_since_ == TimePoint{}) {
    running_peer_since_ = clock_();
  }
}

void RelayedLog::set_replicas(std::size_t replicas) {
  const std::size_t reads = replicas * members_known_;
  if (phase_ == Phase::kDirect && reads >= thresholds_.reads) {
    phase_ = Phase::kRelaying;
    relaying_since_ = clock_();
    sources_.begin(relaying_since_ + kLoadRetryPeriod);
    spdlog::info("fleet: records are read from other nodes passesOn={} members={} replicas={}",
                 passes_on(), members_known_, replicas);
  } else if (phase_ == Phase::kRelaying && reads < thresholds_.reads / 2) {
    phase_ = Phase::kDirect;
    spdlog::info("fleet: records are read from the log members={} replicas={}", members_known_,
                 replicas);
  }
}

void RelayedLog::tick(TimePoint now) {
  const bool members_received = members_known_ > 1 && running_peer_since_ != TimePoint{} &&
                                now - running_peer_since_ >= kMembershipPropagation;
  if (phase_ == Phase::kDelayingStart &&
      (members_received || now - relaying_since_ >= kStartDelay)) {
    phase_ = Phase::kRelaying;
    sources_.begin(relaying_since_ + kLoadRetryPeriod);
    spdlog::info("fleet: records are read from other nodes passesOn={} heldMs={}", passes_on(),
                 to_ms(now - relaying_since_));
  }
  if (phase_ != Phase::kDirect && phase_ != Phase::kRelaying) {
    return;
  }
  std::vector<DelayedCall> held = std::exchange(delayed_calls_, {});
  for (DelayedCall& entry : held) {
    if (now >= entry.at) {
      entry.call();
    } else {
      delayed_calls_.push_back(std::move(entry));
    }
  }
}

bool RelayedLog::is_relayed(const TopicPartition& partition) const {
  return std::find(relayed_.begin(), relayed_.end(), partition) != relayed_.end();
}

void RelayedLog::query_partition_size() {
  relaying_since_ = clock_();
  if (!others_expected_) {
    phase_ = Phase::kDirect;
    return;
  }
  phase_ = Phase::kAsking;
  log_.newest(relayed_.front(), kAfterAllKeys, [this, alive = alive_](const NewestOutcome& size) {
    if (!*alive) {
      return;
    }
    // If the log does not answer, the number of nodes decides.
    const bool large = size.status == LogStatus::kOk ? size.end >= thresholds_.records
                                                     : members_known_ >= thresholds_.members;
    phase_ = large ? Phase::kDelayingStart : Phase::kDirect;
    tick(clock_());
  });
}

void RelayedLog::delay_call(Duration delay, std::function<void()> call) {
  delayed_calls_.push_back({clock_() + delay, std::move(call)});
}

bool RelayedLog::relays_partition(const TopicPartition& partition) const {
  return phase_ == Phase::kRelaying && is_relayed(partition);
}

void RelayedLog::ask_source(const std::string& address, const RecordQuestion& question,
                            Duration limit, std::function<void(const RecordReply&)> done) {
  transport_.ask(address, question, limit,
                 [this, alive = alive_, done = std::move(done)](const RecordReply& reply) {
                   if (!*alive) {
                     return;
                   }
                   if (reply.answer) {
                     sources_.source_answered();
                   }
                   if (reply.answer && !reply.answer->counts.empty()) {
                     observers_.on_counts(reply.answer->counts);
                   }
                   done(reply);
                 });
}

void RelayedLog::newest(const TopicPartition& partition, const std::string& after_key,
                        std::function<void(NewestOutcome)> done) {
  if (phase_ == Phase::kUnknown) {
    query_partition_size();
  }
  if (phase_ == Phase::kDirect || !is_relayed(partition)) {
    log_.newest(partition, after_key, std::move(done));
    return;
  }
  if (phase_ == Phase::kRelaying) {
    load(partition, after_key, std::move(done));
    return;
  }
  delay_call({}, [this, partition, after_key, done = std::move(done)] {
    newest(partition, after_key, done);
  });
}

RecordSources::Step RelayedLog::next_load_step(const TopicPartition& partition, TimePoint now) {
  using Target = RecordSources::Step::Target;
  const auto confirmed = confirmed_at_.find(partition);
  if (confirmed != confirmed_at_.end()) {
    RecordSources::Step step = sources_.next_step(partition, now - confirmed->second, now);
    // A page takes longer than a read, but must not outlast the time until the log is due.
    const Duration spare = confirmed->second + sources_.log_age() - now;
    step.limit = std::clamp(spare, step.limit, kPageTimeout);
    return step;
  }
  if (now - relaying_since_ >= kLoadRetryPeriod && sources_.may_read_log(partition, now)) {
    return {Target::kLog, {}, {}, {}, {}};
  }
  const std::optional<std::string> source = sources_.next(now);
  if (!source) {
    return {Target::kPause, {}, {}, {}, now + kLoadRetry};
  }
  const Duration spare = relaying_since_ + kLoadRetryPeriod - now;
  return {Target::kSource, *source, {}, std::clamp(spare, kShortestPageTimeout, kPageTimeout), {}};
}

void RelayedLog::load(const TopicPartition& partition, const std::string& after_key,
                      std::function<void(NewestOutcome)> done) {
  if (!relays_partition(partition) || sources_.has_no_sources()) {
    log_.newest(partition, after_key, std::move(done));
    return;
  }
  const TimePoint now = clock_();
  const RecordSources::Step step = next_load_step(partition, now);
  const auto again = [this, partition, after_key, done] { load(partition, after_key, done); };
  if (step.target == RecordSources::Step::Target::kPause) {
    delay_call(step.until - now, again);
    return;
  }
  if (step.target == RecordSources::Step::Target::kLog) {
    load_from_log(partition, after_key, std::move(done));
    return;
  }
  RecordQuestion question{partition, node_, passes_on()};
  question.after_key = after_key;
  ask_source(step.source, question, step.limit,
             [this, source = step.source, now, again, done](const RecordReply& reply) {
               if (reply.answer) {
                 NewestOutcome outcome = newest_outcome_of(*reply.answer);
                 outcome.age += clock_() - now;
                 done(std::move(outcome));
                 return;
               }
               spdlog::info("fleet: failed to load a page of records from node={} refused={}",
                            source, reply.refused);
               sources_.failed(source, reply.refused, clock_());
               delay_call(kLoadRetry, again);  // The source may still be loading.
             });
}

void RelayedLog::load_from_log(const TopicPartition& partition, const std::string& after_key,
                               std::function<void(NewestOutcome)> done) {
  log_.newest(partition, after_key,
              [this, partition, alive = alive_, done = std::move(done)](NewestOutcome outcome) {
                if (*alive) {
                  take_log_status(partition, outcome.status);
                }
                done(std::move(outcome));
              });
}

void RelayedLog::take_log_status(const TopicPartition& partition, LogStatus status) {
  if (status == LogStatus::kOk || status == LogStatus::kCompacted) {
    sources_.log_answered(partition);
  } else {
    sources_.log_failed(partition, clock_());
  }
}

void RelayedLog::read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                      std::function<void(ReadOutcome)> done) {
  if (!relays_partition(partition) || sources_.has_no_sources()) {
    read_as_reader(partition, from, times, std::move(done));
    return;
  }
  confirmed_at_[partition] = times.confirmed_at;
  advance_read(std::make_shared<Read>(Read{partition, from, times, std::move(done)}));
}

void RelayedLog::read_log(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                          std::function<void(ReadOutcome)> done) {
  const TimePoint asked_at = clock_();
  log_.read(partition, from, times,
            [this, alive = alive_, asked_at, wait = times.wait,
             done = std::move(done)](ReadOutcome outcome) {
              if (*alive) {
                // The log confirmed the end of the partition when the wait expired, or later.
                outcome.age += std::max(clock_() - asked_at - wait, Duration{});
              }
              done(std::move(outcome));
            });
}

void RelayedLog::read_as_reader(const TopicPartition& partition, LogOffset from, ReadTimes times,
                                std::function<void(ReadOutcome)> done) {
  if (!relays_partition(partition)) {
    log_.read(partition, from, times, std::move(done));
    return;
  }
  times.wait = std::min(times.wait, sources_.budget().log_wait());
  read_log(partition, from, times, std::move(done));
}

void RelayedLog::advance_read(const ReadPtr& read) {
  const TimePoint now = clock_();
  if (!relays_partition(read->partition) || sources_.has_no_sources()) {
    read_as_reader(read->partition, read->from, read->times, read->done);
    return;
  }
  const Duration age = now - read->times.confirmed_at;
  const RecordSources::Step step = sources_.next_step(read->partition, age, now);
  switch (step.target) {
    case RecordSources::Step::Target::kSource:
      read_from_source(read, step);
      return;
    case RecordSources::Step::Target::kLog:
      spdlog::info("fleet: records are read from the log in place of nodes topic={} ageMs={}",
                   read->partition.topic, to_ms(age));
      read_from_log(read, step);
      return;
    case RecordSources::Step::Target::kPause:
      delay_call(step.until - now, [this, read] { advance_read(read); });
      return;
  }
}

void RelayedLog::read_from_log(const ReadPtr& read, const RecordSources::Step& step) {
  read_log(read->partition, read->from, {step.wait, step.limit, read->times.confirmed_at},
           [this, alive = alive_, read](ReadOutcome outcome) {
             if (*alive) {
               take_log_status(read->partition, outcome.status);
               observe_answer(*read, AnswerOrigin::kLog, "log", outcome);
             }
             read->done(std::move(outcome));
           });
}

void RelayedLog::read_from_source(const ReadPtr& read, const RecordSources::Step& step) {
  const TimePoint asked_at = clock_();
  RecordQuestion question{read->partition, node_, passes_on(), true, read->from, step.wait, {}};
  question.reader_age = asked_at - read->times.confirmed_at;
  ask_source(
      step.source, question, step.wait + step.limit,
      [this, read, asked_at, source = step.source, wait = step.wait](const RecordReply& reply) {
        if (reply.answer) {
          ReadOutcome outcome = read_outcome_of(*reply.answer);
          outcome.age += time_under_way(*reply.answer, clock_() - asked_at, wait);
          if (!advances_view(*read, outcome)) {
            // The source is behind this node. Asked again at once, it would answer the same.
            sources_.failed(source, true, clock_());
            advance_read(read);
            return;
          }
          observe_answer(*read, AnswerOrigin::kNode, source, outcome);
          read->done(std::move(outcome));
          return;
        }
        spdlog::info("fleet: failed to read records from node={} refused={}", source,
                     reply.refused);
        sources_.failed(source, reply.refused, clock_());
        advance_read(read);
      });
}

bool RelayedLog::advances_view(const Read& read, const ReadOutcome& outcome) const {
  const bool confirms = clock_() - outcome.age > read.times.confirmed_at;
  return outcome.status != LogStatus::kOk || !outcome.records.empty() || confirms;
}

void RelayedLog::observe_answer(const Read& read, AnswerOrigin origin, const std::string& source,
                                const ReadOutcome& outcome) const {
  if (outcome.status != LogStatus::kOk) {
    return;
  }
  const Duration age = clock_() - read.times.confirmed_at;
  observers_.on_answer(origin, age);
  if (!outcome.records.empty() && age > sources_.budget().source_wait()) {
    spdlog::info(
        "fleet: records arrived late topic={} records={} from={} ageMs={} source={} sourceAgeMs={}",
        read.partition.topic, outcome.records.size(), read.from, to_ms(age), source,
        to_ms(outcome.age));
  }
}

void RelayedLog::append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                        const std::optional<ProducerPosition>& position,
                        std::function<void(AppendOutcome)> done) {
  log_.append(partition, records, position, std::move(done));
}

void RelayedLog::append_at(const TopicPartition& partition, LogOffset expected_end,
                           const std::vector<KeyedRecord>& records,
                           std::function<void(AppendOutcome)> done) {
  log_.append_at(partition, expected_end, records, std::move(done));
}

void RelayedLog::join(const std::string& group, const std::string& member,
                      const std::vector<std::string>& topics, Duration lease,
                      std::uint64_t generation, std::function<void(JoinOutcome)> done) {
  log_.join(group, member, topics, lease, generation, std::move(done));
}

void RelayedLog::leave(const std::string& group, const std::string& member,
                       std::function<void(LogStatus)> done) {
  log_.leave(group, member, std::move(done));
}

void RelayedLog::owners(const std::string& group, std::function<void(OwnersOutcome)> done) {
  log_.owners(group, std::move(done));
}

}  // namespace dockpoint
