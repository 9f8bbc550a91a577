#pragma once

#include <cstdint>
#include <list>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/routing/cold_replica_limiter.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "dockpoint/routing/slot_shares.hpp"
#include "dockpoint/routing/water_filling.hpp"

/// Selects the replica for one request or batch item.
///
/// Only a few replicas are compared: some drawn at random by load (water_filling.hpp explains why
/// the least loaded one is not simply taken), and those expected to have a long part of the prompt
/// in their prefix cache. Each gets a cost: the expected time until the request starts there. The
/// cost is the sum of the wait for a free slot, the prefill of prompts queued before it, and the
/// prefill of the part of its own prompt that is not expected in the replica's prefix cache, each
/// scaled by the replica's pace (replica_pace.hpp).
///
/// A prefix is expected at replicas to which this node sent it recently, and at its home: the
/// replica with the highest rendezvous hash for the prefix, which all nodes compute alike without
/// communication. A busy home costs more than prefilling the prefix again elsewhere, so load stays
/// bounded.
namespace dockpoint {

/// One part of a prompt; requests with the same id share it.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;
};

/// Input of a choice.
struct ReplicaQuery {
  std::string service;
  TrafficClass traffic = TrafficClass::kOnline;
  std::vector<PromptPart> prompt;  ///< In order; only this request has the last part.
  std::set<std::string> excluded;  ///< Replicas at which this request has failed.
  /// Only replicas of this software version, since output that one of them began goes on; empty:
  /// replicas of any.
  std::string software_version{};
};

/// Result of a choice.
struct ReplicaChoice {
  const Replica* replica = nullptr;  ///< Null if no replica can take the request.
  Duration expected_wait{};          ///< Wait for a slot; zero if one is expected to be free.
  double missing_tokens = 0;         ///< Prompt tokens that the replica is expected to prefill.
  double expected_load = 0;          ///< Requests and items expected there, without this one.
  bool own_slot = false;             ///< Uses a slot assigned to this node, see slot_shares.hpp.
};

/// See the top of this file. Not thread-safe. `knobs` and `directory` must outlive it.
class ReplicaSelector {
 public:
  /// @param zone of this node.
  ReplicaSelector(const Knobs& knobs, const ReplicaDirectory& directory, std::string zone,
                  std::uint64_t seed);

  ReplicaChoice choose(const ReplicaQuery& query, TimePoint now);
  /// @return whether `choose` would return a replica now.
  bool has_candidate(const ReplicaQuery& query, TimePoint now) const {
    return !candidates(query, now).empty();
  }

  /// From now on `limiter` limits requests to cold replicas; it must outlive the selector.
  void limit_cold_replicas(ColdReplicaLimiter& limiter) { cold_limiter_ = &limiter; }

  /// From now on online requests prefer free slots assigned to this node; `shares` must outlive the
  /// selector.
  void use_slot_shares(SlotShares& shares) { shares_ = &shares; }

  /// Records that a replica has prefilled this prompt.
  void note_prompt(const std::string& replica, const std::vector<PromptPart>& prompt,
                   TimePoint now);
  /// Updates the mean time that online requests of a service hold a slot. Batch items are not
  /// included: they take several times as long and are preempted, so their times predict neither
  /// the wait nor the request rate.
  void note_service_time(const std::string& service, Duration time);

 private:
  struct PrefixEntry {
    std::uint64_t chain = 0;
    std::vector<std::pair<std::uint32_t, TimePoint>> replicas;  ///< Key and last use.
  };
  /// A prefix of the query's prompt with its entry in the prefix table.
  struct PrefixStep {
    std::uint64_t chain = 0;
    double tokens = 0;  ///< Of this and all parts before it.
    const PrefixEntry* entry = nullptr;
  };
  struct Candidate {
    const Replica* replica = nullptr;
    double expected_load = 0;   ///< Including requests not yet seen in digests.
    double competing_load = 0;  ///< The same without batch items that would be preempted.
    double missing_tokens = 0;
    double wait_ms = 0;
    double cost_ms = 0;
    bool own_slot = false;
  };
  /// Statistics of a service's online requests.
  struct ServiceHistory {
    double service_ms = 0;  ///< Mean time that a request holds a slot; 0: none has ended yet.
    DecayingCount sends;    ///< Requests sent by this node.
  };

  /// @return the free slot assigned to this node where the request would end first; none if no such
  /// slot is free or if prefix affinity takes precedence.
  Candidate own_slot(const ReplicaQuery& query, const std::vector<PrefixStep>& steps,
                     TimePoint now);
  /// Counts the choice in the send rate and the cold replica limit.
  ReplicaChoice record_choice(const std::string& service, const Candidate& candidate,
                              TimePoint now);
  /// @return whether the replica is neither ejected nor an outlier, and no trial request is in
  /// flight.
  bool trusted(const Replica& replica, TimePoint now) const;
  /// @return whether the replica can serve the request at all: it has not failed it, and has the
  /// software version that it needs.
  static bool eligible(const Replica& replica, const ReplicaQuery& query);
  /// @return whether a request may go to the replica, regardless of its load.
  bool usable(const Replica& replica, const ReplicaQuery& query, TimePoint now) const;
  std::vector<const Replica*> candidates(const ReplicaQuery& query, TimePoint now) const;
  /// @return whether the replica is cold and its limiter admits no further request.
  bool over_cold_limit(const Replica& replica, TimePoint now) const;
  /// @return the longest prefix that other requests may share, which is the step before the last;
  /// null if the prompt has only one part.
  static const PrefixStep* shared_step(const std::vector<PrefixStep>& steps);
  std::vector<PrefixStep> steps_of(const std::vector<PromptPart>& prompt) const;
  /// @return keys of the replicas with the highest and second highest rendezvous hash for the
  /// shared prefix.
  std::pair<std::uint32_t, std::uint32_t> homes(const std::vector<const Replica*>& all,
                                                const std::vector<PrefixStep>& steps) const;
  double cached_tokens(const Replica& replica, const std::vector<PrefixStep>& steps,
                       const std::pair<std::uint32_t, std::uint32_t>& homes, TimePoint now) const;
  /// @return prompt tokens of other nodes' requests that the replica has still to prefill.
  double peer_prefill(const Replica& replica, TimePoint now) const;
  /// @return estimated number of requests that the fleet has started since the known load was
  /// measured.
  double unseen_requests(const std::vector<const Replica*>& open, const std::string& service,
                         TimePoint now) const;
  /// @return mean time that an online request of the service holds a slot.
  double service_ms(const std::string& service) const;
  /// @return expected distribution of the unseen requests over the candidates.
  WaterFilling spread_unseen(const std::vector<const Replica*>& open, const ReplicaQuery& query,
                             TimePoint now) const;
  /// @return batch items at a replica that are expected to be preempted for a request.
  double yielding_items(const Replica& replica, TrafficClass traffic) const;
  /// @return indices of the candidates to compare; those drawn by load come first.
  std::vector<std::size_t> shortlist(const std::vector<Candidate>& all, double prompt_tokens,
                                     const WaterFilling& filling);
  double wait_ms(const Replica& replica, double expected_load, const std::string& service,
                 TimePoint now) const;
  double cost_ms(const Candidate& candidate, TimePoint now) const;
  ServiceHistory& history_of(const std::string& service);
  PrefixEntry& touch(std::uint64_t chain);

  const Knobs& knobs_;
  const ReplicaDirectory& directory_;
  const std::string zone_;
  ColdReplicaLimiter* cold_limiter_ = nullptr;  ///< Null: no limit.
  SlotShares* shares_ = nullptr;                ///< Null: slots are not assigned to nodes.
  std::mt19937_64 random_;
  std::list<PrefixEntry> recent_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<PrefixEntry>::iterator> by_chain_;
  std::unordered_map<std::string, ServiceHistory> services_;
};

}  // namespace dockpoint
