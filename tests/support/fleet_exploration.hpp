#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/memory_log.hpp"
#include "gateway/fleet_watch.hpp"
#include "gateway/gateway_surroundings.hpp"

/// What explorations of the fleet's state in simulated time share.
namespace dockpoint::test {

inline const std::string kConfigurationKey = "config";
inline const FleetTopics kTopics{
    {"configuration", 0}, kConfigurationKey, "evacuate/", {"replicas", 0}};
/// Zone that the operator evacuates.
inline const std::string kEvacuatedZone = "zone-b";

/// A change that the log has confirmed: of the configuration if `version` is set, of an evacuation
/// if `evacuation` is set, otherwise a replica that began to drain.
struct ConfirmedChange {
  std::int64_t confirmed_at = 0;
  std::uint64_t version = 0;  ///< Version of the configuration, or 0.
  std::string replica;
  std::uint64_t evacuation = 0;  ///< Number of evacuation changes so far, or 0.
};

/// @param evacuation_changes number of changes so far; the zone is evacuated after an odd one.
/// @return whether a node acts on a change.
inline bool knows(const GatewaySurroundings& node, const ConfirmedChange& change,
                  std::uint64_t evacuation_changes) {
  if (change.evacuation > 0) {
    // If another change followed, an older one cannot be told apart from the newest.
    const bool evacuated = evacuation_changes % 2 == 1;
    return change.evacuation != evacuation_changes ||
           node.directory.evacuations().contains(kEvacuatedZone) == evacuated;
  }
  if (change.version > 0) {
    return node.context.configuration->version >= change.version;
  }
  const Replica* replica = node.directory.find(change.replica);
  return replica == nullptr || replica->record.draining;
}

/// Configuration values are a version; replica values are `ready` or `draining`.
class PlainReader : public FleetReader {
 public:
  Result<RoutingConfiguration> read_configuration(const std::string& value) const override {
    RoutingConfiguration configuration;
    configuration.version = std::stoull(value);
    return configuration;
  }
  Result<ReplicaRecord> read_replica(const std::string& id,
                                     const std::string& value) const override {
    ReplicaRecord record;
    record.id = id;
    record.service = "lm";
    record.address = {"10.0.0.1", 80};
    record.slots = 4;
    record.draining = value == "draining";
    return record;
  }
};

/// How a node's link to the log fails.
enum class LinkFault { kNone, kSilent, kRefused };

/// A node's link to the log: calls in flight are lost when it stops answering.
class LogLink : public PartitionedLog {
 public:
  explicit LogLink(MemoryLog& log) : log_(log) {}

  void set_fault(LinkFault fault) {
    fault_ = fault;
    if (fault == LinkFault::kSilent) {
      ++*breaks_;
    }
  }
  void advance(TimePoint now) {
    now_ = now;
    std::deque<Ending> due;
    std::swap(due, endings_);
    for (Ending& ending : due) {
      if (ending.at <= now) {
        ending.run();
      } else {
        endings_.push_back(std::move(ending));
      }
    }
  }
  std::size_t calls() const { return calls_; }

  const LogLimits& limits() const override { return log_.limits(); }
  void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
            std::function<void(ReadOutcome)> done) override {
    guard<ReadOutcome>(times.wait + times.limit, std::move(done), [&](auto answered) {
      log_.read(partition, from, times, std::move(answered));
    });
  }
  void newest(const TopicPartition& partition, const std::string& after_key,
              std::function<void(NewestOutcome)> done) override {
    guard<NewestOutcome>(std::chrono::milliseconds(1'500), std::move(done), [&](auto answered) {
      log_.newest(partition, after_key, std::move(answered));
    });
  }
  void append(const TopicPartition&, const std::vector<KeyedRecord>&,
              const std::optional<ProducerPosition>&, std::function<void(AppendOutcome)>) override {
  }
  void append_at(const TopicPartition&, LogOffset, const std::vector<KeyedRecord>&,
                 std::function<void(AppendOutcome)>) override {}
  void join(const std::string&, const std::string&, const std::vector<std::string>&, Duration,
            std::uint64_t, std::function<void(JoinOutcome)>) override {}
  void leave(const std::string&, const std::string&, std::function<void(LogStatus)>) override {}
  void owners(const std::string&, std::function<void(OwnersOutcome)>) override {}

 private:
  struct Ending {
    TimePoint at{};
    std::function<void()> run;
  };

  /// Makes a call whose answer is dropped if the link breaks in the meantime; the call then ends at
  /// its time limit.
  template <class Outcome>
  void guard(Duration limit, std::function<void(Outcome)> done,
             const std::function<void(std::function<void(Outcome)>)>& call) {
    ++calls_;
    const auto over = std::make_shared<bool>(false);
    const auto end = [over, done = std::move(done)](Outcome outcome) {
      if (!std::exchange(*over, true)) {
        done(std::move(outcome));
      }
    };
    if (fault_ == LinkFault::kRefused) {
      Outcome refused;
      refused.status = LogStatus::kRefused;
      endings_.push_back({now_ + std::chrono::milliseconds(4), [=] { end(refused); }});
      return;
    }
    endings_.push_back({now_ + limit, [=] { end(Outcome{}); }});
    if (fault_ == LinkFault::kSilent) {
      return;
    }
    // The log may answer after this link was destroyed.
    call([end, breaks = breaks_, breaks_before = *breaks_](Outcome outcome) {
      if (*breaks == breaks_before) {
        end(std::move(outcome));
      }
    });
  }

  MemoryLog& log_;
  LinkFault fault_ = LinkFault::kNone;
  std::shared_ptr<int> breaks_ =
      std::make_shared<int>(0);  ///< Number of times the link stopped answering.
  TimePoint now_{};
  std::deque<Ending> endings_;
  std::size_t calls_ = 0;
};

/// @return a number from the environment: to run more seeds manually, or a single seed with
/// logging.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Disables logging, since thousands of log lines of simulated nodes are useless in a test's
/// output.
class DisabledLogging {
 public:
  DisabledLogging() { spdlog::set_level(spdlog::level::off); }
  ~DisabledLogging() { spdlog::set_level(level_); }
  DisabledLogging(const DisabledLogging&) = delete;
  DisabledLogging& operator=(const DisabledLogging&) = delete;

 private:
  const spdlog::level::level_enum level_ = spdlog::get_level();
};

}  // namespace dockpoint::test
