#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/log/partitioned_log.hpp"

/// An in-memory emulation of the log service in simulated time.
///
/// It honours the contract of `PartitionedLog` and can fail in every way that the contract allows:
/// refuse calls, lose responses, delay appends, discard history, reassign partitions.
namespace dockpoint {

/// Faults that a `MemoryLog` injects into subsequent calls.
struct MemoryLogFaults {
  bool down = false;         ///< Every call is refused.
  bool silent = false;       ///< No call is executed or answered. Reads that wait meanwhile stay
                             ///< unanswered afterwards too: their connection is dead.
  double lose_answers = 0;   ///< Share of appends that are applied but not answered.
  double delay_appends = 0;  ///< Share of unanswered appends that are applied later.
  Duration shortest_delay = std::chrono::seconds(1);
  Duration longest_delay = std::chrono::seconds(6);

  /// @return whether no fault is active.
  bool calm() const { return !down && !silent && lose_answers == 0 && delay_appends == 0; }
};

/// See the top of this file. Time advances only in `advance`. Not thread-safe.
class MemoryLog : public PartitionedLog {
 public:
  MemoryLog(const LogLimits& limits, std::uint64_t seed);

  MemoryLogFaults faults;

  /// Advances time: delivers due responses, expires leases and applies delayed appends.
  void advance(TimePoint now);
  /// Discards all history except the newest record of each key.
  void forget_history();
  /// Reassigns the partitions of all groups.
  void rebalance();

  const LogLimits& limits() const override { return limits_; }
  void append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
              const std::optional<ProducerPosition>& position,
              std::function<void(AppendOutcome)> done) override;
  void append_at(const TopicPartition& partition, LogOffset expected_end,
                 const std::vector<KeyedRecord>& records,
                 std::function<void(AppendOutcome)> done) override;
  void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
            std::function<void(ReadOutcome)> done) override;
  void newest(const TopicPartition& partition, const std::string& after_key,
              std::function<void(NewestOutcome)> done) override;
  void join(const std::string& group, const std::string& member,
            const std::vector<std::string>& topics, Duration lease, std::uint64_t generation,
            std::function<void(JoinOutcome)> done) override;
  void leave(const std::string& group, const std::string& member,
             std::function<void(LogStatus)> done) override;
  void owners(const std::string& group, std::function<void(OwnersOutcome)> done) override;

  /// @return every record ever appended to a partition, for checks.
  const std::vector<KeyedRecord>& history(const TopicPartition& partition);
  /// @return the number of calls to `read` so far.
  std::size_t reads() const { return reads_; }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    bool seen = false;
    bool begun = false;  ///< Appended records in its epoch; its first append may have any number.
    std::uint64_t next_sequence = 0;
    std::deque<std::pair<std::uint64_t, AppendOutcome>> recent;  ///< Outcomes of the last appends.
  };
  struct Partition {
    std::vector<KeyedRecord> records;  ///< All records; the index is the offset.
    LogOffset first_kept = 0;
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, Producer> producers;
  };
  struct GroupPartition {
    std::string owner;
    std::string next_owner;        ///< Becomes the owner on release.
    std::uint64_t generation = 0;  ///< Generation of the last assignment.
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, TimePoint> members;  ///< Member to end of its lease.
    std::map<TopicPartition, GroupPartition> partitions;
  };
  struct Event {
    TimePoint at{};
    std::function<void()> run;
  };
  struct WaitingRead {
    TopicPartition partition;
    LogOffset from = 0;
    TimePoint deadline{};
    Duration limit{};  ///< Time after the deadline until the caller gives up.
    std::function<void(ReadOutcome)> done;
    bool disconnected = false;  ///< The connection delivers nothing any more.
  };

  /// Preconditions of an append to a partition.
  struct AppendCondition {
    std::optional<ProducerPosition> position;
    std::optional<LogOffset> end;
  };

  AppendOutcome apply(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                      const AppendCondition& condition);
  /// Registers the epoch of a producer and checks its sequence number.
  /// @return the answer if the append must not be applied: it is fenced, repeated or out of
  /// sequence.
  static std::optional<AppendOutcome> check_producer(Partition& partition,
                                                     const ProducerPosition& position,
                                                     bool has_records);
  /// Appends immediately, late or not at all, according to `faults`.
  void append_with_faults(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                          const AppendCondition& condition,
                          std::function<void(AppendOutcome)> done);
  ReadOutcome read_now(const TopicPartition& partition, LogOffset from);
  void answer(std::function<void()> run);
  void assign_partitions(Group& group, const std::vector<std::string>& topics);
  void expire_leases(TimePoint now);
  void release_partitions(Group& group, const std::string& member, std::uint64_t generation);

  const LogLimits limits_;
  std::mt19937_64 random_;
  TimePoint now_{};
  std::map<TopicPartition, Partition> partitions_;
  std::map<std::string, Group> groups_;
  std::vector<std::string> topics_;
  std::deque<Event> events_;
  std::vector<WaitingRead> waiting_;
  std::size_t reads_ = 0;
};

}  // namespace dockpoint
