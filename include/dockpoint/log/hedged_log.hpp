#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// A log whose writes are sent again while their answer is still awaited.
///
/// The log may do a call and lose its answer, and no answer comes on that connection any more. A
/// caller that waits for the time limit of the call loses more than a second, which is longer than
/// clients wait for a job to be accepted and than an owner's lease lets it answer. So a write that
/// has no answer after a short time is sent once more beside the first; the first answer that
/// settles its fate counts, later ones are dropped. The time grows with that of recent answers, so
/// that a log that is slow is not asked ever more.
///
/// Only calls that may be done twice are hedged: appends that carry a producer's position are
/// deduplicated by the log, all others of dockpoint write one value under one key, and joining a
/// group again changes nothing. Of the calls of a conditional append one at most is done; the
/// answer may then be that of another, `kEndMoved`: the writer reads the partition again and finds
/// its own records. Reads pass through.
namespace dockpoint {

/// One write and the calls that are under way for it. Knows nothing of its kind.
class HedgedWrite {
 public:
  virtual ~HedgedWrite() = default;
  /// Sends the write once more if it is due. @return whether it is over.
  virtual bool tick() = 0;
  /// Sends it no more; an answer still counts.
  virtual void stop() = 0;
};

/// See the top of this file. Single-threaded; borrows the log. Calls that are under way when it is
/// destroyed are not answered.
class HedgedLog : public PartitionedLog {
 public:
  HedgedLog(const Knobs& knobs, PartitionedLog& log) : knobs_(knobs), log_(log) {}
  ~HedgedLog() override;

  /// Sends again what is due; call several times a second.
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
  /// What writes share with their log; they may outlive it.
  struct Shared {
    bool alive = true;
    TimePoint now{};
    Duration mean_time{};  ///< Until recent writes were settled.
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
