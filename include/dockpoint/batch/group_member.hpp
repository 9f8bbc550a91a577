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

/// This node's membership in the group that owns the partitions of batch jobs.
///
/// The member renews its lease three times in its length. A partition that is taken away is
/// released only when the node says that its work there has ended (or too much time has passed):
/// until then the member names the generation before. If renewals failed for longer than the
/// lease, or generations were missed, others may have owned a partition in between: the node is
/// told to doubt it, and asks the log whether its epoch still counts.
namespace dockpoint {

/// Receives the dealing.
class GroupMemberObserver {
 public:
  virtual ~GroupMemberObserver() = default;
  /// The partition is this node's, under `epoch`.
  virtual void on_acquired(int partition, std::uint64_t epoch) = 0;
  /// The partition goes to another node: end the work there, then call `released`.
  virtual void on_revoked(int partition) = 0;
  /// Another node may have owned the partition meanwhile: make sure before anything is told of it.
  virtual void on_ownership_uncertain(int partition) = 0;
  /// The partition is no longer this node's; drop everything held of it.
  virtual void on_lost(int partition) = 0;
};

/// See the top of this file. Not thread-safe; borrows all references.
class GroupMember {
 public:
  GroupMember(const Knobs& knobs, PartitionedLog& log, std::string group, std::string topic,
              std::string name, std::uint64_t seed, GroupMemberObserver& observer);
  ~GroupMember();

  void tick(TimePoint now);
  /// The work on a revoked partition has ended.
  void released(int partition);
  /// The node was fenced on this partition: it is lost, and acquired again under the newest
  /// generation if it is still dealt to this node.
  void fenced(int partition);
  /// Gives all partitions back; no call after this.
  void leave();

  bool joined() const { return generation_ > 0; }
  /// @return whether the last renewal is recent enough to answer reads. It counts from when it was
  /// sent, which is before it arrived. The time is shorter than the lease, because the log may deal
  /// partitions anew without waiting for leases to run out.
  bool lease_valid(TimePoint now) const;
  std::uint64_t generation() const { return generation_; }

 private:
  struct Owned {
    std::uint64_t epoch = 0;
    bool revoked = false;
    TimePoint revoked_at{};
  };

  void join();
  void take(const JoinOutcome& outcome, TimePoint sent_at);
  void lose(int partition);
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
  TimePoint renewed_at_{};
  bool calling_ = false;
  bool left_ = false;
  bool fenced_ = false;                    ///< On some partition, since the dealing was last taken.
  std::uint64_t generation_ = 0;           ///< Last heard.
  std::uint64_t released_generation_ = 0;  ///< Last whose revocations are carried out.
  std::map<int, Owned> owned_;
};

}  // namespace dockpoint
