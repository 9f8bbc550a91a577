#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// A log client that hedges writes.
///
/// The log may apply a call and lose the answer, and the connection then stays silent. Waiting for
/// the call's timeout costs more than a second, which is longer than clients wait for a job to be
/// accepted and than an owner's lease lets it answer. Therefore a write without an answer after a
/// short delay is sent again in parallel; the first conclusive answer counts, and later ones are
/// dropped. The delay grows with the latency of recent writes, so that a slow log does not get ever
/// more calls.
///
/// Only calls that are safe to repeat are hedged: the log deduplicates appends with a producer
/// position, all other appends of dockpoint write one value under one key, and joining a group
/// again changes nothing. Of the calls of a conditional append at most one is applied. The first
/// answer may then be that of another call, `kEndMoved`: the writer reads the partition again and
/// finds its own records. Reads pass through.
namespace dockpoint {

/// One write and its pending calls, independent of the type of the outcome.
class HedgedWrite {
 public:
  virtual ~HedgedWrite() = default;
  /// Sends the write again if the hedge delay is over. @return whether the write has finished.
  virtual bool tick() = 0;
  /// Sends no further calls; an answer still counts.
  virtual void stop() = 0;
};

/// See the top of this file. Single-threaded; borrows the log. Callbacks of calls that are pending
/// at destruction are never invoked.
class HedgedLog : public PartitionedLog {
 public:
  HedgedLog(const Knobs& knobs, PartitionedLog& log) : knobs_(knobs), log_(log) {}
  ~HedgedLog() override;

  /// Sends hedged calls that are due; call several times a second.
  void tick(TimePoint now);

  const LogLimits& limits() const override { return log_.limits(); }
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

 private:
  template <class Outcome>
  class Write;
  /// State shared by the log and its writes; writes may outlive the log.
  struct Shared {
    bool alive = true;
    TimePoint now{};
    Duration mean_time{};  ///< Moving average of the time until a write is settled.
  };
  template <class Outcome>
  void start(std::function<void(std::function<void(Outcome)>)> send,
             std::function<void(Outcome)> done);

  const Knobs& knobs_;
  PartitionedLog& log_;
  std::list<std::shared_ptr<HedgedWrite>> writes_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

}  // namespace dockpoint
