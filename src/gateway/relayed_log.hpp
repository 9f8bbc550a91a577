#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dockpoint/membership/record_sources.hpp"
#include "gateway/record_protocol.hpp"
#include "net/http_client.hpp"

namespace dockpoint {

/// The log as a node of a large fleet reads it: its records come from other nodes where these have
/// them, see membership/record_sources.hpp. Writes and groups pass through.
///
/// Start: a node does not know yet how large its fleet is, and nodes that all start at once and all
/// load thousands of records from the log hold each other up for longer than a fleet may take to
/// come back. So the first load asks the log where the replicas' partition ends, which costs one
/// small call. If it has seen few records the fleet is small, and nothing is held. Otherwise the
/// load waits until the other nodes of the zone are known, or for a short time.
///
/// A read that finds no source, and may not go to the log yet, is refused, and asked again by
/// whoever follows. Single-threaded; borrows loop, client and log.
class RelayedLog : public PartitionedLog {
 public:
  /// A partition with fewer records than this is read from the log by every node: 200 KB at 250
  /// nodes are 50 MB for the whole fleet.
  static constexpr LogOffset kRelayedRecords = 2'000;
  /// Replicas times nodes from which on records are passed on: 100,000 records are 25 MB, which the
  /// log hands out in 0.3 s. Below half of it they are no more.
  static constexpr std::size_t kRelayedReads = 100'000;
  /// So many nodes are taken for a large fleet if the log does not say: in smaller ones any node
  /// that runs has all records, and tells them when it is asked for its state.
  static constexpr std::size_t kRelayingMembers = 128;
  /// The first load waits so long for other nodes to be known: their second round of probes.
  static constexpr Duration kStartDelay = std::chrono::milliseconds(1'500);
  /// A node that runs tells of all members within this time: 62 datagrams for 986.
  static constexpr Duration kMembershipPropagation = std::chrono::milliseconds(200);
  /// After its start a node asks one that is loading again, for as long as this.
  static constexpr Duration kLoadRetryPeriod = std::chrono::seconds(5);
  static constexpr Duration kLoadRetry = std::chrono::milliseconds(100);
  /// Of a page from another node; 150 KB take 0.1 s at 30 Mbit/s, and 32 nodes may ask at once.
  static constexpr Duration kPageTimeout = std::chrono::seconds(2);

  using CountsReceived = std::function<void(const std::vector<ReplicaCount>&)>;

  /// @param relayed the partitions whose records are passed on; the first one tells the fleet's
  /// size.
  /// @param node,zone of this node.
  RelayedLog(boost::asio::io_context& loop, net::HttpClient& client, PartitionedLog& log,
             std::vector<TopicPartition> relayed, const std::string& node, std::string zone,
             Duration bound, CountsReceived on_counts);
  ~RelayedLog() override;

  /// @param expected whether there may be other nodes.
  void expect_others(bool expected) { others_expected_ = expected; }
  /// Takes the nodes that are alive, whenever they have changed.
  void set_members(const std::vector<const Member*>& alive);
  /// Takes how many replicas there are: where they and the nodes are many, records are passed on.
  void set_replicas(std::size_t replicas);
  /// Starts calls that were held; call several times a second.
  void tick(TimePoint now);

  /// Another node was heard that runs already: it knows who belongs to the fleet.
  void others_run();
  /// @return whether this node asks its peers for all records where it is behind: in a large fleet
  /// that is megabytes, and they come in parts.
  bool direct() const { return phase_ != Phase::kHolding && phase_ != Phase::kRelaying; }
  /// @return whether records are passed on between nodes.
  bool relays() const { return phase_ == Phase::kRelaying; }
  /// @return whether this node reads all records, and answers others.
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
    kUnknown,   ///< How large the fleet is has not been asked.
    kAsking,    ///< The log has been asked.
    kHolding,   ///< It is large; other nodes are not known yet.
    kDirect,    ///< Everything comes from the log.
    kRelaying,  ///< Records come from other nodes.
  };
  struct DelayedCall {
    TimePoint at{};
    std::function<void()> call;
  };

  bool is_relayed(const TopicPartition& partition) const;
  void query_partition_size();
  void hold(Duration delay, std::function<void()> call);
  bool relays_partition(const TopicPartition& partition) const;
  void read_from_log(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                     std::function<void(ReadOutcome)> done);
  /// Reads from a source; from others, without a wait, if that fails.
  void read_from_source(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
                        int tries, std::function<void(ReadOutcome)> done);
  void ask_source(const std::string& address, const RecordQuestion& question, Duration limit,
                  std::function<void(std::optional<RecordAnswer>, bool refused)> done);
  void load(const TopicPartition& partition, const std::string& after_key,
            std::function<void(NewestOutcome)> done);

  boost::asio::io_context& loop_;
  net::HttpClient& client_;
  PartitionedLog& log_;
  const std::vector<TopicPartition> relayed_;
  const std::string node_;
  const CountsReceived on_counts_;
  RecordSources sources_;
  Phase phase_ = Phase::kUnknown;
  bool others_expected_ = false;
  std::size_t members_known_ = 0;
  TimePoint running_peer_since_{};  ///< Zero: none was heard that did.
  TimePoint relaying_since_{};      ///< Or since when it may be.
  std::vector<DelayedCall> delayed_calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< For calls that outlive it.
};

}  // namespace dockpoint
