#include "dockpoint/log/hedged_log.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {
namespace {

/// @return whether the status is conclusive, whatever the outcome of the write's other calls.
bool settles(LogStatus status) {
  return status != LogStatus::kRefused && status != LogStatus::kUnknown;
}

}  // namespace

/// A write with one type of outcome.
template <class Outcome>
class HedgedLog::Write : public HedgedWrite,
                         public std::enable_shared_from_this<HedgedLog::Write<Outcome>> {
 public:
  using Done = std::function<void(Outcome)>;
  using Send = std::function<void(Done)>;

  Write(const Knobs& knobs, std::shared_ptr<Shared> shared, Send send, Done done)
      : knobs_(knobs),
        shared_(std::move(shared)),
        send_(std::move(send)),
        done_(std::move(done)),
        started_(shared_->now) {}

  void send() {
    const Duration delay = std::max(knobs_.log_hedge_delay, 2 * shared_->mean_time);
    next_at_ = shared_->now + delay * (1 << sent_);
    ++sent_;
    ++pending_calls_;
    send_([self = this->shared_from_this()](Outcome outcome) {
      self->on_outcome(std::move(outcome));
    });
  }

  bool tick() override {
    if (!settled_ && !stopped_ && sent_ < knobs_.log_hedge_calls && shared_->now >= next_at_) {
      send();
    }
    return settled_;
  }

  void stop() override { stopped_ = true; }

 private:
  void on_outcome(Outcome outcome) {
    --pending_calls_;
    if (settled_ || !shared_->alive) {
      return;
    }
    may_be_applied_ = may_be_applied_ || outcome.status == LogStatus::kUnknown;
    if (!settles(outcome.status)) {
      if (pending_calls_ > 0) {
        return;
      }
      outcome.status = may_be_applied_ ? LogStatus::kUnknown : LogStatus::kRefused;
    } else {
      constexpr int kMemory = 5;  // Weight of the mean: it spans about this many writes.
      shared_->mean_time += (shared_->now - started_ - shared_->mean_time) / kMemory;
    }
    settled_ = true;
    const Done done = std::move(done_);
    done(std::move(outcome));
  }

  const Knobs& knobs_;
  const std::shared_ptr<Shared> shared_;
  const Send send_;
  Done done_;
  const TimePoint started_;
  TimePoint next_at_{};
  int sent_ = 0;
  int pending_calls_ = 0;
  bool may_be_applied_ = false;  ///< A call ended without an answer and may have been applied.
  bool settled_ = false;
  bool stopped_ = false;
};

HedgedLog::~HedgedLog() {
  shared_->alive = false;
}

template <class Outcome>
void HedgedLog::start(std::function<void(std::function<void(Outcome)>)> send,
                      std::function<void(Outcome)> done) {
  const auto write =
      std::make_shared<Write<Outcome>>(knobs_, shared_, std::move(send), std::move(done));
  writes_.push_back(write);
  write->send();
}

void HedgedLog::tick(TimePoint now) {
  shared_->now = now;
  // Sending a write again may finish it at once, and its callback may start other writes.
  const std::list<std::shared_ptr<HedgedWrite>> writes = std::move(writes_);
  writes_.clear();
  for (const auto& write : writes) {
    if (!write->tick()) {
      writes_.push_back(write);
    }
  }
}

void HedgedLog::append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
                       const std::optional<ProducerPosition>& position,
                       std::function<void(AppendOutcome)> done) {
  start<AppendOutcome>(
      [this, partition, records, position](std::function<void(AppendOutcome)> answered) {
        log_.append(partition, records, position, std::move(answered));
      },
      std::move(done));
}

void HedgedLog::append_at(const TopicPartition& partition, LogOffset expected_end,
                          const std::vector<KeyedRecord>& records,
                          std::function<void(AppendOutcome)> done) {
  start<AppendOutcome>(
      [this, partition, expected_end, records](std::function<void(AppendOutcome)> answered) {
        log_.append_at(partition, expected_end, records, std::move(answered));
      },
      std::move(done));
}

void HedgedLog::read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                     std::function<void(ReadOutcome)> done) {
  log_.read(partition, from, times, std::move(done));
}

void HedgedLog::newest(const TopicPartition& partition, const std::string& after_key,
                       std::function<void(NewestOutcome)> done) {
  log_.newest(partition, after_key, std::move(done));
}

void HedgedLog::join(const std::string& group, const std::string& member,
                     const std::vector<std::string>& topics, Duration lease,
                     std::uint64_t generation, std::function<void(JoinOutcome)> done) {
  start<JoinOutcome>(
      [this, group, member, topics, lease, generation](std::function<void(JoinOutcome)> answered) {
        log_.join(group, member, topics, lease, generation, std::move(answered));
      },
      std::move(done));
}

void HedgedLog::leave(const std::string& group, const std::string& member,
                      std::function<void(LogStatus)> done) {
  for (const auto& write : writes_) {
    write->stop();  // A late join would enter the group again.
  }
  log_.leave(group, member, std::move(done));
}

void HedgedLog::owners(const std::string& group, std::function<void(OwnersOutcome)> done) {
  log_.owners(group, std::move(done));
}

}  // namespace dockpoint
