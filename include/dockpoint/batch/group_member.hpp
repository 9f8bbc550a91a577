#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/log/partitioned_log.hpp"

/// This node's membership in the consumer group that owns the partitions of batch jobs.
///
/// The member renews its lease three times per lease duration. A revoked partition is released only
/// once the node reports that its work there has ended, or after a drain timeout; until then the
/// member reports the previous generation. If renewals failed for longer than the lease, or
/// generations were skipped, another node may have owned a partition in between: the observer is
/// notified that ownership is uncertain and verifies its epoch against the log.
namespace dockpoint {

/// Receives changes of the partition assignment.
class GroupMemberObserver {
 public:
  virtual ~GroupMemberObserver() = default;
  /// The partition was assigned to this node under `epoch`.
  virtual void on_acquired(int partition, std::uint64_t epoch) = 0;
  /// The partition was assigned to another node: finish the work in progress, then call `released`.
  virtual void on_revoked(int partition) = 0;
  /// Another node may have owned the partition in the meantime: verify the epoch before serving
  /// reads from it.
  virtual void on_ownership_uncertain(int partition) = 0;
  /// This node no longer owns the partition; discard all state of it.
  virtual void on_lost(int partition) = 0;
};

/// See the top of this file. Not thread-safe; borrows all references.
class GroupMember {
 public:
  GroupMember(const Knobs& knobs, PartitionedLog& log, std::string group, std::string topic,
              std::string name, std::uint64_t seed, GroupMemberObserver& observer);
  ~GroupMember();

  void tick(TimePoint now);
  /// Reports that the work on a revoked partition has ended.
  void released(int partition);
  /// Reports that the node was fenced on this partition. The partition is dropped, and acquired
  /// again under the newest generation if it is still assigned to this node.
  void fenced(int partition);
  /// Leaves the group and drops all partitions. No other method may be called afterwards.
  void leave();

  bool joined() const { return generation_ > 0; }
  /// @return whether the last renewal is recent enough to serve reads. Its age is measured from the
  /// time it was sent, which precedes its arrival. The validity is shorter than the lease because
  /// the log may rebalance partitions without waiting for leases to expire.
  bool lease_valid(TimePoint now) const;
  /// Records whether any other member reaches the log; call regularly.
  void set_others_reach_log(bool reach, TimePoint now);
  /// @return whether reads may be served: the lease is valid, or nobody reaches the log, and this
  /// member's lease had not expired while others still did. Otherwise they may have taken over its
  /// partitions and listed more results.
  bool may_serve_reads(TimePoint now) const;
  std::uint64_t generation() const { return generation_; }

 private:
  struct Owned {
    std::uint64_t epoch = 0;
    bool revoked = false;
    TimePoint revoked_at{};
  };

  void join();
  void handle_join(const JoinOutcome& outcome, TimePoint sent_at);
  void drop_partition(int partition);
  bool draining() const;
  Duration lease() const;

  const Knobs& knobs_;
  PartitionedLog& log_;
  const std::string group_;
  const std::string topic_;
  const std::string name_;
  std::mt19937_64 random_;
  GroupMemberObserver& observer_;
  std::shared_ptr<Life> life_ = std::make_shared<Life>();

  TimePoint now_{};
  TimePoint next_join_{};
  bool others_reach_log_ = false;
  TimePoint others_reached_log_at_{};  ///< Last time that any other member did.
  TimePoint renewed_at_{};
  bool calling_ = false;
  bool left_ = false;
  bool fenced_ = false;           ///< Fenced on some partition since the last handled join.
  std::uint64_t generation_ = 0;  ///< Newest generation received.
  std::uint64_t released_generation_ = 0;  ///< Newest generation whose revocations are complete.
  std::map<int, Owned> owned_;
};

}  // namespace dockpoint
