#pragma once

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/log/record_cache.hpp"
#include "gateway/record_protocol.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Answers other nodes that read the fleet's records from this one; see
/// membership/record_sources.hpp for who does.
///
/// A read waits here until there is a record, or its time is up. A node that cannot vouch for what
/// it knows refuses reads at once, those that wait included, so that nobody waits behind a node
/// that has lost the log. It still answers loads: a node that starts while the log is away gets
/// what there is, and its age. Single-threaded.
class RecordServer {
 public:
  /// How this node stands to a partition, and the age of what it knows of it.
  using Standing = std::function<WatchAge(const TopicPartition&)>;
  /// @return whether a record belongs to the part of a node.
  using Belongs = std::function<bool(std::uint64_t node_hash, const KeyedRecord&)>;

  /// Reads that wait at once; further ones are refused, and go to another node.
  static constexpr std::size_t kMaxWaitingReads = 512;

  RecordServer(Standing standing, Belongs belongs,
               std::function<std::vector<ReplicaCount>()> counts)
      : standing_(std::move(standing)), belongs_(std::move(belongs)), counts_(std::move(counts)) {}

  /// Starts to keep, or forgets, the records of a partition.
  /// @param parts whether nodes read a part of them.
  void keep(const TopicPartition& partition, bool parts);
  void forget(const TopicPartition& partition) { cached_partitions_.erase(partition); }

  // What this node learns of its partitions; nothing happens for one that is not kept.
  void replace(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
               LogOffset end);
  void add(const TopicPartition& partition, const KeyedRecord& record);

  /// Answers a question, now or later.
  void serve(const net::ExchangePtr& exchange);
  /// Answers reads whose records have come or whose time is up; call after news, and several times
  /// a second.
  void tick(TimePoint now);

 private:
  struct CachedPartition {
    RecordCache records;
    bool parts = false;
  };
  struct WaitingRead {
    net::ExchangePtr exchange;
    RecordQuestion question;
    TimePoint until{};
  };

  static void refuse(const net::ExchangePtr& exchange);
  RecordCache::Filter filter_of(const RecordQuestion& question, const CachedPartition& kept) const;
  void respond(const net::ExchangePtr& exchange, const CachedPartition& kept,
               const RecordQuestion& question, RecordAnswer answer);
  /// @return whether the read was answered or refused.
  bool try_read(const WaitingRead& waiting, TimePoint now);

  const Standing standing_;
  const Belongs belongs_;
  const std::function<std::vector<ReplicaCount>()> counts_;
  std::map<TopicPartition, CachedPartition> cached_partitions_;
  std::list<WaitingRead> waiting_;
};

}  // namespace dockpoint
