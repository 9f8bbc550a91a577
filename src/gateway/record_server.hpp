#pragma once

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/log/record_cache.hpp"
#include "dockpoint/log/relay_budget.hpp"
#include "gateway/record_protocol.hpp"

namespace dockpoint {

/// Serves the fleet's records to other nodes; see membership/record_sources.hpp for how they choose
/// their source.
///
/// A read waits here until there is a record, until the log has confirmed this node's view anew, or
/// until its wait has expired. So a confirmation passes through all steps from the log to the last
/// node at once, and the ages of their views do not add up. A node that has lost the log, or whose
/// view is too old, refuses reads at once, including waiting ones, so that no reader waits in vain.
/// It still answers loads: a node that starts during a log outage gets the known records and their
/// age. Free of I/O and clocks; not thread-safe.
class RecordServer {
 public:
  /// Receives the answer to a request; without an answer the request is refused.
  using Reply = std::function<void(const std::optional<RecordAnswer>&)>;
  /// Returns the watch state and age of this node's view of a partition.
  using Standing = std::function<WatchAge(const TopicPartition&)>;
  /// @return whether a record belongs to the subset of a node.
  using Belongs = std::function<bool(std::uint64_t node_hash, const KeyedRecord&)>;

  /// Limit of concurrently waiting reads; further ones are refused and go to another node.
  static constexpr std::size_t kMaxWaitingReads = 512;

  /// @param budget of the age of the readers' views.
  RecordServer(const RelayBudget& budget, Standing standing, Belongs belongs,
               std::function<std::vector<ReplicaCount>()> counts)
      : budget_(budget),
        standing_(std::move(standing)),
        belongs_(std::move(belongs)),
        counts_(std::move(counts)) {}

  /// Starts or stops caching the records of a partition.
  /// @param parts whether nodes read only their subset of them.
  void keep(const TopicPartition& partition, bool parts);
  void forget(const TopicPartition& partition) { cached_partitions_.erase(partition); }

  // Records that this node has read; ignored for partitions that are not cached.
  void replace(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
               LogOffset end);
  void add(const TopicPartition& partition, const KeyedRecord& record);
  /// Notes that this node has read all records before `end`.
  void advance(const TopicPartition& partition, LogOffset end);

  /// Answers a record request, at once or when records arrive.
  /// @param received when the request arrived.
  void serve(const RecordQuestion& question, TimePoint received, Reply reply);
  /// Answers reads whose records have arrived or whose wait has expired; call after new records and
  /// several times a second.
  void tick(TimePoint now);

 private:
  struct CachedPartition {
    RecordCache records;
    bool parts = false;
  };
  struct WaitingRead {
    RecordQuestion question;
    TimePoint received{};
    Reply reply;
  };

  RecordCache::Filter filter_of(const RecordQuestion& question, const CachedPartition& kept) const;
  void respond(const WaitingRead& read, const CachedPartition& kept, RecordAnswer answer,
               TimePoint now);
  /// @return whether this node's view is fresh enough to be read by others.
  bool may_serve(const WatchAge& standing) const;
  /// @return whether this node's view is so much newer than the reader's that the reader should
  /// hear of it, even without new records.
  bool gains(const WaitingRead& read, const WatchAge& standing, TimePoint now) const;
  /// @return whether the read was answered or refused.
  bool try_read(const WaitingRead& waiting, TimePoint now);

  const RelayBudget budget_;
  const Standing standing_;
  const Belongs belongs_;
  const std::function<std::vector<ReplicaCount>()> counts_;
  std::map<TopicPartition, CachedPartition> cached_partitions_;
  std::list<WaitingRead> waiting_;
};

}  // namespace dockpoint
