#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/membership/record_sources.hpp"
#include "gateway/record_transport.hpp"

namespace dockpoint {

/// The log as seen by a node of a large fleet: records of the relayed partitions come from other
/// nodes where possible, see membership/record_sources.hpp. Writes and group calls pass through.
///
/// Startup: a node does not know the size of its fleet yet, and nodes that all start at once and
/// each load thousands of records from the log delay each other for longer than a fleet may take to
/// recover. So before the first load the node asks the log for the end offset of the replica
/// partition, which is one small call. With few records the fleet is small, and nothing is delayed.
/// Otherwise the load waits until the other nodes of the zone are known, or for a short time.
///
/// A read that finds no source and may not go to the log yet is refused; the follower retries it.
/// Free of I/O and clocks; not thread-safe. Borrows transport and log.
class RelayedLog : public PartitionedLog {
 public:
  /// From which size of the fleet on records are relayed.
  struct Thresholds {
    /// Every node reads a partition with fewer records than this from the log: 200 KB at 250 nodes
    /// are 50 MB for the whole fleet.
    LogOffset records = 2'000;
    /// Replicas times nodes: 100,000 records are 25 MB, which the log serves in 0.3 s. Relaying
    /// ends below half of this value.
    std::size_t reads = 100'000;
    /// Number of members from which on the fleet counts as large if the log does not answer: in
    /// smaller fleets every running node has all records and includes them in its fleet state.
    std::size_t members = 128;
  };
  /// Longest delay of the first load until other nodes are known: their second round of probes.
  static constexpr Duration kStartDelay = std::chrono::milliseconds(1'500);
  /// Time within which a running node sends the whole membership: 62 datagrams for 986 members.
  static constexpr Duration kMembershipPropagation = std::chrono::milliseconds(200);
  /// Period after the start in which a node retries sources that are still loading.
  static constexpr Duration kLoadRetryPeriod = std::chrono::seconds(5);
  static constexpr Duration kLoadRetry = std::chrono::milliseconds(100);
  /// Timeout of a page from another node; 150 KB take 0.1 s at 30 Mbit/s, and 32 nodes may ask at
  /// once.
  static constexpr Duration kPageTimeout = std::chrono::seconds(2);

  /// @return the current time.
  using Clock = std::function<TimePoint()>;
  using CountsReceived = std::function<void(const std::vector<ReplicaCount>&)>;

  /// @param relayed partitions whose records are relayed; the end offset of the first one indicates
  /// the size of the fleet.
  /// @param node,zone of this node.
  RelayedLog(RecordTransport& transport, PartitionedLog& log, Clock clock,
             std::vector<TopicPartition> relayed, const std::string& node, std::string zone,
             Duration bound, CountsReceived on_counts, const Thresholds& thresholds);
  ~RelayedLog() override;

  /// @param expected whether other nodes may exist.
  void expect_others(bool expected) { others_expected_ = expected; }
  /// Sets the live nodes; call whenever they change.
  void set_members(const std::vector<const Member*>& alive);
  /// Sets the number of replicas. Records are relayed if there are many replicas and nodes.
  void set_replicas(std::size_t replicas);
  /// Starts delayed calls that are due; call several times a second.
  void tick(TimePoint now);

  /// Called when a running node was heard, which knows the members of the fleet.
  void others_run();
  /// @return whether this node asks its peers for their whole fleet state when it is behind. In a
  /// large fleet that is megabytes, so records are fetched in pages instead.
  bool direct() const { return phase_ != Phase::kDelayingStart && phase_ != Phase::kRelaying; }
  /// @return whether records are relayed between nodes.
  bool relays() const { return phase_ == Phase::kRelaying; }
  /// @return whether this node reads all records and serves them to others.
  bool passes_on() const { return sources_.passes_on(); }

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
  enum class Phase {
    kUnknown,        ///< The size of the fleet has not been queried.
    kAsking,         ///< The query to the log is under way.
    kDelayingStart,  ///< The fleet is large; other nodes are not known yet.
    kDirect,         ///< Everything comes from the log.
    kRelaying,       ///< Records come from other nodes.
  };
  struct DelayedCall {
    TimePoint at{};
    std::function<void()> call;
  };

  bool is_relayed(const TopicPartition& partition) const;
  void query_partition_size();
  void delay_call(Duration delay, std::function<void()> call);
  bool relays_partition(const TopicPartition& partition) const;
  void read_from_log(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                     std::function<void(ReadOutcome)> done);
  /// Reads from a source; if that fails, from further sources without a wait.
  void read_from_source(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                        int tries, std::function<void(ReadOutcome)> done);
  void ask_source(const std::string& address, const RecordQuestion& question, Duration limit,
                  std::function<void(const RecordReply&)> done);
  void load(const TopicPartition& partition, const std::string& after_key,
            std::function<void(NewestOutcome)> done);

  RecordTransport& transport_;
  PartitionedLog& log_;
  const Clock clock_;
  const std::vector<TopicPartition> relayed_;
  const std::string node_;
  const CountsReceived on_counts_;
  const Thresholds thresholds_;
  RecordSources sources_;
  Phase phase_ = Phase::kUnknown;
  bool others_expected_ = false;
  std::size_t members_known_ = 0;
  TimePoint running_peer_since_{};  ///< Zero: no running peer was heard.
  TimePoint relaying_since_{};      ///< Start of relaying, or of the size query that precedes it.
  std::vector<DelayedCall> delayed_calls_;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  ///< For callbacks that outlive this object.
};

}  // namespace dockpoint
