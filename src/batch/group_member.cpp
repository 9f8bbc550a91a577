#include "dockpoint/batch/group_member.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {

GroupMember::GroupMember(const Knobs& knobs, PartitionedLog& log, std::string group,
                         std::string topic, std::string name, std::uint64_t seed,
                         GroupMemberObserver& observer)
    : knobs_(knobs),
      log_(log),
      group_(std::move(group)),
      topic_(std::move(topic)),
      name_(std::move(name)),
      random_(seed),
      observer_(observer) {}

GroupMember::~GroupMember() {
  life_->alive = false;
}

bool GroupMember::draining() const {
  return std::any_of(owned_.begin(), owned_.end(),
                     [](const auto& entry) { return entry.second.revoked; });
}

Duration GroupMember::lease() const {
  return std::max(knobs_.group_lease, log_.limits().minimum_lease);
}

bool GroupMember::lease_valid(TimePoint now) const {
  return joined() && now - renewed_at_ < std::min(lease(), knobs_.read_validity);
}

void GroupMember::set_others_reach_log(bool reach, TimePoint now) {
  others_reach_log_ = reach;
  if (reach) {
    others_reached_log_at_ = now;
  }
}

bool GroupMember::may_serve_reads(TimePoint now) const {
  const bool held_when_others_lost_the_log =
      joined() && renewed_at_ + lease() > others_reached_log_at_;
  return lease_valid(now) || (!others_reach_log_ && held_when_others_lost_the_log);
}

void GroupMember::tick(TimePoint now) {
  now_ = now;
  if (left_) {
    return;
  }
  std::vector<int> overdue;
  for (const auto& [partition, owned] : owned_) {
    if (owned.revoked && now - owned.revoked_at > knobs_.handover_drain) {
      overdue.push_back(partition);
    }
  }
  for (const int partition : overdue) {
    released(partition);
  }
  if (!calling_ && now >= next_join_) {
    join();
  }
}

void GroupMember::join() {
  calling_ = true;
  if (!draining()) {
    released_generation_ = generation_;
  }
  log_.join(group_, name_, {topic_}, lease(), released_generation_,
            [this, life = life_, sent_at = now_](const JoinOutcome& outcome) {
              if (life->alive) {
                calling_ = false;
                handle_join(outcome, sent_at);
              }
            });
}

void GroupMember::handle_join(const JoinOutcome& outcome, TimePoint sent_at) {
  if (left_) {
    return;
  }
  std::uniform_int_distribution<std::int64_t> jitter(lease().count() / 4, lease().count() / 3);
  next_join_ = now_ + Duration(jitter(random_));
  if (outcome.status != LogStatus::kOk) {
    return;
  }
  const bool lease_expired = generation_ > 0 && sent_at - renewed_at_ > lease();
  const bool ownership_uncertain = lease_expired || outcome.generation > generation_ + 1;
  const bool fenced = std::exchange(fenced_, false);
  const bool changed = fenced || outcome.generation != generation_;
  renewed_at_ = sent_at;
  generation_ = outcome.generation;
  if (!changed) {
    return;
  }
  std::set<int> assigned;
  for (const TopicPartition& partition : outcome.partitions) {
    assigned.insert(partition.partition);
  }
  const std::map<int, Owned> before = owned_;
  for (const auto& [partition, owned] : before) {
    if (assigned.contains(partition)) {
      if (ownership_uncertain) {
        observer_.on_ownership_uncertain(partition);
      }
    } else if (lease_expired) {
      drop_partition(partition);
    } else if (!owned.revoked) {
      owned_[partition].revoked = true;
      owned_[partition].revoked_at = now_;
      observer_.on_revoked(partition);
    }
  }
  for (const int partition : assigned) {
    const auto found = owned_.find(partition);
    if (found != owned_.end() && found->second.revoked) {
      // Reassigned before it was released, so no other node has owned it.
      drop_partition(partition);
    }
    if (!owned_.contains(partition)) {
      owned_[partition] = {generation_, false, {}};
      observer_.on_acquired(partition, generation_);
    }
  }
  if (generation_ != released_generation_ && !draining()) {
    next_join_ = now_;  // No partition has to be drained: confirm the revocations immediately.
  }
}

void GroupMember::released(int partition) {
  const auto found = owned_.find(partition);
  if (found == owned_.end() || !found->second.revoked) {
    return;
  }
  drop_partition(partition);
  if (!draining()) {
    next_join_ = now_;
  }
}

void GroupMember::fenced(int partition) {
  drop_partition(partition);
  // The fencing epoch may belong to a generation that this node has already received: the partition
  // moved away and back while this node was disconnected. It is then still assigned to this node,
  // so the next join acquires it again even if the generation is unchanged.
  fenced_ = true;
  next_join_ = now_;
}

void GroupMember::drop_partition(int partition) {
  if (owned_.erase(partition) > 0) {
    observer_.on_lost(partition);
  }
}

void GroupMember::leave() {
  if (left_) {
    return;
  }
  left_ = true;
  const std::map<int, Owned> before = owned_;
  for (const auto& [partition, owned] : before) {
    drop_partition(partition);
  }
  log_.leave(group_, name_, [](LogStatus) {});
}

}  // namespace dockpoint
