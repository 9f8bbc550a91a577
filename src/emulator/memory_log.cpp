#include "emulator/memory_log.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {
namespace {

/// Response latency.
constexpr Duration kLatency = std::chrono::milliseconds(4);
/// Time after which a caller stops waiting for a response.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/// Maximum number of records per page.
constexpr std::size_t kPageRecords = 50;
/// Number of recent append outcomes kept per producer to answer repeated appends.
constexpr std::size_t kRecentAnswers = 5;

}  // namespace

MemoryLog::MemoryLog(const LogLimits& limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

void MemoryLog::answer(std::function<void()> run) {
  events_.push_back({now_ + kLatency, std::move(run)});
}

void MemoryLog::advance(TimePoint now) {
  now_ = now;
  expire_leases(now);
  std::deque<Event> due;
  std::deque<Event> later;
  for (Event& event : std::exchange(events_, {})) {
    (event.at <= now ? due : later).push_back(std::move(event));
  }
  events_ = std::move(later);
  for (const Event& event : due) {
    event.run();
  }
  for (WaitingRead& read : std::exchange(waiting_, {})) {
    ReadOutcome outcome = read_now(read.partition, read.from);
    const bool ready = !outcome.records.empty() || outcome.status != LogStatus::kOk;
    read.disconnected = read.disconnected || faults.silent;
    if (read.disconnected || faults.down) {
      if (now >= read.deadline + read.limit) {
        read.done({LogStatus::kUnknown, {}, 0});
      } else {
        waiting_.push_back(std::move(read));
      }
    } else if (ready || now >= read.deadline) {
      read.done(std::move(outcome));
    } else {
      waiting_.push_back(std::move(read));
    }
  }
}

void MemoryLog::forget_history() {
  for (auto& [id, partition] : partitions_) {
    partition.first_kept = partition.records.size();
  }
}

std::optional<AppendOutcome> MemoryLog::check_producer(Partition& partition,
                                                       const ProducerPosition& position,
                                                       bool has_records) {
  Producer& producer = partition.producers[position.producer];
  if (producer.seen && position.epoch < producer.epoch) {
    return AppendOutcome{LogStatus::kFenced, 0, 0, 0};
  }
  if (!producer.seen || position.epoch > producer.epoch) {
    producer = {position.epoch, true, false, 0, {}};
  }
  for (const auto& [sequence, outcome] : producer.recent) {
    if (sequence == position.sequence) {
      return outcome;
    }
  }
  // An append without records takes no number, so none is expected of it.
  if (has_records && producer.begun && position.sequence != producer.next_sequence) {
    return AppendOutcome{LogStatus::kOutOfSequence, 0, 0, producer.next_sequence};
  }
  return std::nullopt;
}

AppendOutcome MemoryLog::apply(const TopicPartition& id, const std::vector<KeyedRecord>& records,
                               const AppendCondition& condition) {
  Partition& partition = partitions_[id];
  const std::optional<ProducerPosition>& position = condition.position;
  if (condition.end && *condition.end != partition.records.size()) {
    return {LogStatus::kEndMoved, 0, partition.records.size(), 0};
  }
  if (position) {
    if (const auto answered = check_producer(partition, *position, !records.empty())) {
      return *answered;
    }
  }
  AppendOutcome outcome{LogStatus::kOk, partition.records.size(), 0, 0};
  for (KeyedRecord record : records) {
    record.offset = partition.records.size();
    partition.records.push_back(record);
    if (record.value.empty()) {
      partition.newest.erase(record.key);
    } else {
      partition.newest[record.key] = record;
    }
  }
  outcome.end = partition.records.size();
  if (position && !records.empty()) {
    Producer& producer = partition.producers[position->producer];
    producer.begun = true;
    producer.next_sequence = position->sequence + 1;
    producer.recent.emplace_back(position->sequence, outcome);
    if (producer.recent.size() > kRecentAnswers) {
      producer.recent.pop_front();
    }
  }
  return outcome;
}

void MemoryLog::append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                       const std::optional<ProducerPosition>& position,
                       std::function<void(AppendOutcome)> done) {
  append_with_faults(partition, records, {position, std::nullopt}, std::move(done));
}

void MemoryLog::append_at(const TopicPartition& partition, LogOffset expected_end,
                          const std::vector<KeyedRecord>& records,
                          std::function<void(AppendOutcome)> done) {
  append_with_faults(partition, records, {std::nullopt, expected_end}, std::move(done));
}

void MemoryLog::append_with_faults(const TopicPartition& partition,
                                   const std::vector<KeyedRecord>& records,
                                   const AppendCondition& condition,
                                   std::function<void(AppendOutcome)> done) {
  std::uniform_real_distribution<double> share(0, 1);
  if (faults.down) {
    answer([done = std::move(done)] { done({LogStatus::kRefused, 0, 0, 0}); });
    return;
  }
  const bool delayed = share(random_) < faults.delay_appends;
  const bool lost = delayed || faults.silent || share(random_) < faults.lose_answers;
  if (delayed) {
    std::uniform_int_distribution<std::int64_t> delay(faults.shortest_delay.count(),
                                                      faults.longest_delay.count());
    events_.push_back({now_ + Duration(delay(random_)), [this, partition, records, condition] {
                         apply(partition, records, condition);
                       }});
  }
  const AppendOutcome outcome =
      delayed || faults.silent ? AppendOutcome{} : apply(partition, records, condition);
  if (lost) {
    events_.push_back({now_ + kCallTimeout, [done = std::move(done)] { done(AppendOutcome{}); }});
  } else {
    answer([done = std::move(done), outcome] { done(outcome); });
  }
}

ReadOutcome MemoryLog::read_now(const TopicPartition& id, LogOffset from) {
  const Partition& partition = partitions_[id];
  if (from < partition.first_kept) {
    return {LogStatus::kCompacted, {}, partition.records.size()};
  }
  ReadOutcome outcome{LogStatus::kOk, {}, partition.records.size()};
  for (std::size_t offset = from; offset < partition.records.size(); ++offset) {
    outcome.records.push_back(partition.records[offset]);
  }
  return outcome;
}

void MemoryLog::read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                     std::function<void(ReadOutcome)> done) {
  ++reads_;
  if (faults.down) {
    answer([done = std::move(done)] { done({LogStatus::kRefused, {}, 0}); });
    return;
  }
  waiting_.push_back(
      {partition, from, now_ + times.wait, times.limit, std::move(done), faults.silent});
}

void MemoryLog::newest(const TopicPartition& id, const std::string& after_key,
                       std::function<void(NewestOutcome)> done) {
  if (faults.down) {
    answer([done = std::move(done)] { done({LogStatus::kRefused, {}, false, 0}); });
    return;
  }
  if (faults.silent) {
    events_.push_back({now_ + kCallTimeout, [done = std::move(done)] {
                         done({LogStatus::kUnknown, {}, false, 0});
                       }});
    return;
  }
  const Partition& partition = partitions_[id];
  NewestOutcome outcome{LogStatus::kOk, {}, false, partition.records.size()};
  for (auto entry = partition.newest.upper_bound(after_key); entry != partition.newest.end();
       ++entry) {
    if (outcome.records.size() == kPageRecords) {
      outcome.more = true;
      break;
    }
    outcome.records.push_back(entry->second);
  }
  answer([done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void MemoryLog::assign_partitions(Group& group, const std::vector<std::string>& topics) {
  ++group.generation;
  for (const std::string& topic : topics) {
    for (int number = 0; number < limits_.partitions; ++number) {
      group.partitions.try_emplace({topic, number});
    }
  }
  std::vector<std::string> members;
  for (const auto& [member, lease] : group.members) {
    members.push_back(member);
  }
  std::size_t turn = 0;
  for (auto& [id, partition] : group.partitions) {
    if (members.empty()) {
      partition = {};
      continue;
    }
    const std::string& next = members[turn++ % members.size()];
    if (partition.owner.empty()) {
      partition.owner = next;
      partition.generation = group.generation;
    }
    partition.next_owner = next == partition.owner ? std::string() : next;
  }
}

void MemoryLog::release_partitions(Group& group, const std::string& member,
                                   std::uint64_t generation) {
  for (auto& [id, partition] : group.partitions) {
    if (partition.owner == member && !partition.next_owner.empty() &&
        generation >= group.generation) {
      partition.owner = std::exchange(partition.next_owner, {});
      ++group.generation;
    }
  }
}

void MemoryLog::expire_leases(TimePoint now) {
  if (faults.down || faults.silent) {
    return;  // Leases do not expire while the service is down or silent.
  }
  for (auto& [name, group] : groups_) {
    bool changed = false;
    for (auto member = group.members.begin(); member != group.members.end();) {
      if (now < member->second) {
        ++member;
        continue;
      }
      for (auto& [id, partition] : group.partitions) {
        if (partition.owner == member->first) {
          partition.owner.clear();
        }
      }
      member = group.members.erase(member);
      changed = true;
    }
    if (changed) {
      assign_partitions(group, {});
    }
  }
}

void MemoryLog::rebalance() {
  for (auto& [name, group] : groups_) {
    std::vector<std::string> owners;
    for (auto& [id, partition] : group.partitions) {
      owners.push_back(partition.owner);
    }
    if (owners.empty()) {
      continue;
    }
    std::rotate(owners.begin(), owners.begin() + 1, owners.end());
    std::size_t index = 0;
    for (auto& [id, partition] : group.partitions) {
      partition.owner = owners[index++];
      partition.next_owner.clear();
    }
    ++group.generation;
  }
}

void MemoryLog::join(const std::string& name, const std::string& member,
                     const std::vector<std::string>& topics, Duration lease,
                     std::uint64_t generation, std::function<void(JoinOutcome)> done) {
  if (faults.down || faults.silent) {
    const Duration after = faults.down ? kLatency : kCallTimeout;
    const LogStatus status = faults.down ? LogStatus::kRefused : LogStatus::kUnknown;
    events_.push_back({now_ + after, [done = std::move(done), status] { done({status, 0, {}}); }});
    return;
  }
  Group& group = groups_[name];
  const bool added = !group.members.contains(member);
  group.members[member] = now_ + lease;
  if (added) {
    assign_partitions(group, topics);
  }
  release_partitions(group, member, generation);
  JoinOutcome outcome{LogStatus::kOk, group.generation, {}};
  for (const auto& [id, partition] : group.partitions) {
    if (partition.owner == member && partition.next_owner.empty()) {
      outcome.partitions.push_back(id);
    }
  }
  answer([done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void MemoryLog::leave(const std::string& name, const std::string& member,
                      std::function<void(LogStatus)> done) {
  if (!faults.down && !faults.silent) {
    Group& group = groups_[name];
    group.members.erase(member);
    for (auto& [id, partition] : group.partitions) {
      if (partition.owner == member) {
        partition.owner.clear();
      }
    }
    assign_partitions(group, {});
  }
  answer([done = std::move(done)] { done(LogStatus::kOk); });
}

void MemoryLog::owners(const std::string& name, std::function<void(OwnersOutcome)> done) {
  OwnersOutcome outcome{faults.down ? LogStatus::kRefused : LogStatus::kOk, {}};
  for (const auto& [id, partition] : groups_[name].partitions) {
    outcome.rows.push_back({id, partition.owner});
  }
  answer([done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

const std::vector<KeyedRecord>& MemoryLog::history(const TopicPartition& partition) {
  return partitions_[partition].records;
}

}  // namespace dockpoint
