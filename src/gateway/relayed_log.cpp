#include "gateway/relayed_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace dockpoint {
namespace {

/// Sorts after every key that a replica registers under: a load from here returns the end offset of
/// the partition and no records.
constexpr const char* kAfterAllKeys = "~~~~";

}  // namespace

RelayedLog::RelayedLog(RecordTransport& transport, PartitionedLog& log, Clock clock,
                       std::vector<TopicPartition> relayed, const std::string& node,
                       std::string zone, Duration bound, CountsReceived on_counts,
                       const Thresholds& thresholds)
    : transport_(transport),
      log_(log),
      clock_(std::move(clock)),
      relayed_(std::move(relayed)),
      node_(node),
      on_counts_(std::move(on_counts)),
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
    sources_.succeeded(relaying_since_);
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
    sources_.succeeded(now);
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
                     sources_.succeeded(clock_());
                     if (!reply.answer->counts.empty()) {
                       on_counts_(reply.answer->counts);
                     }
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

void RelayedLog::load(const TopicPartition& partition, const std::string& after_key,
                      std::function<void(NewestOutcome)> done) {
  const TimePoint now = clock_();
  const std::optional<std::string> address =
      relays_partition(partition) ? sources_.next(now) : std::nullopt;
  const bool within_retry_period = now - relaying_since_ < kLoadRetryPeriod;
  if (!address && (!within_retry_period || sources_.has_no_sources())) {
    log_.newest(partition, after_key, std::move(done));
    return;
  }
  const auto again = [this, partition, after_key, done] { load(partition, after_key, done); };
  if (!address) {
    delay_call(kLoadRetry, again);
    return;
  }
  RecordQuestion question{partition, node_, passes_on()};
  question.after_key = after_key;
  ask_source(*address, question, kPageTimeout,
             [this, address, again, done](const RecordReply& reply) {
               if (reply.answer) {
                 done(newest_outcome_of(*reply.answer));
                 return;
               }
               spdlog::info("fleet: failed to load a page of records from node={} refused={}",
                            *address, reply.refused);
               sources_.failed(*address, reply.refused, clock_());
               delay_call(kLoadRetry, again);  // The source may still be loading.
             });
}

void RelayedLog::read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                      std::function<void(ReadOutcome)> done) {
  constexpr int kTries = 3;
  if (relays_partition(partition) && !sources_.has_no_sources()) {
    read_from_source(partition, from, times, kTries, std::move(done));
  } else {
    log_.read(partition, from, times, std::move(done));
  }
}

void RelayedLog::read_from_log(const TopicPartition& partition, LogOffset from,
                               const ReadTimes& times, std::function<void(ReadOutcome)> done) {
  if (!sources_.may_read_log(clock_())) {
    ReadOutcome refused;
    refused.status = LogStatus::kRefused;
    done(std::move(refused));
    return;
  }
  log_.read(partition, from, times,
            [this, alive = alive_, done = std::move(done)](ReadOutcome outcome) {
              const bool answered =
                  outcome.status == LogStatus::kOk || outcome.status == LogStatus::kCompacted;
              if (*alive && answered) {
                sources_.succeeded(clock_());
              } else if (*alive) {
                sources_.log_failed(clock_());
              }
              done(std::move(outcome));
            });
}

void RelayedLog::read_from_source(const TopicPartition& partition, LogOffset from,
                                  const ReadTimes& times, int tries,
                                  std::function<void(ReadOutcome)> done) {
  const std::optional<std::string> address = tries > 0 ? sources_.next(clock_()) : std::nullopt;
  if (!address) {
    // Deferred so that `done` is never called from within `read`.
    delay_call({}, [this, partition, from, times, done = std::move(done)] {
      read_from_log(partition, from, {{}, times.limit}, done);
    });
    return;
  }
  const RecordQuestion question{partition, node_, passes_on(), true, from, times.wait, {}};
  const Duration half_limit = times.limit / 2;
  ask_source(*address, question, times.wait + half_limit,
             [this, partition, from, half_limit, tries, address,
              done = std::move(done)](const RecordReply& reply) {
               if (reply.answer) {
                 done(read_outcome_of(*reply.answer));
                 return;
               }
               spdlog::info("fleet: failed to read records from node={} refused={}", *address,
                            reply.refused);
               sources_.failed(*address, reply.refused, clock_());
               read_from_source(partition, from, {{}, half_limit}, tries - 1, done);
             });
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
