#pragma once

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/log/record_cache.hpp"
#include "gateway/record_protocol.hpp"

namespace dockpoint {

/// Serves the fleet's records to other nodes; see membership/record_sources.hpp for how they choose
/// their source.
///
/// A read waits here until there is a record or its wait has expired. A node whose view is not
/// confirmed by the log refuses reads at once, including waiting ones, so that no reader waits on a
/// node that has lost the log. It still answers loads: a node that starts during a log outage gets
/// the known records and their age. Free of I/O and clocks; not thread-safe.
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

  RecordServer(Standing standing, Belongs belongs,
               std::function<std::vector<ReplicaCount>()> counts)
      : standing_(std::move(standing)), belongs_(std::move(belongs)), counts_(std::move(counts)) {}

  /// Starts or stops caching the records of a partition.
  /// @param parts whether nodes read only their subset of them.
  void keep(const TopicPartition& partition, bool parts);
  void forget(const TopicPartition& partition) { cached_partitions_.erase(partition); }

  // Records that this node has read; ignored for partitions that are not cached.
  void replace(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
               LogOffset end);
  void add(const TopicPartition& partition, const KeyedRecord& record);

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
    TimePoint until{};
    Reply reply;
  };

  RecordCache::Filter filter_of(const RecordQuestion& question, const CachedPartition& kept) const;
  void respond(const Reply& reply, const CachedPartition& kept, const RecordQuestion& question,
               RecordAnswer answer);
  /// @return whether the read was answered or refused.
  bool try_read(const WaitingRead& waiting, TimePoint now);

  const Standing standing_;
  const Belongs belongs_;
  const std::function<std::vector<ReplicaCount>()> counts_;
  std::map<TopicPartition, CachedPartition> cached_partitions_;
  std::list<WaitingRead> waiting_;
};

}  // namespace dockpoint
