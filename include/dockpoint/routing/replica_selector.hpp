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

/// Choice of the replica for one request or batch item.
///
/// Few replicas are compared: some that are drawn by what is known of the load (water_filling.hpp
/// tells why the least loaded is not simply taken), and those that are expected to hold a long part
/// of the prompt. Each gets a cost: the time until the request would start there. It is made of the
/// wait for a free slot, the reading of prompts that stand before it, and the reading of its own
/// prompt as far as the replica's prefix cache is not expected to hold it, each as long as the
/// replica's pace makes it (replica_pace.hpp). A prefix is expected
/// where this node sent it lately, and at its home: the replica with the highest rendezvous score
/// for it, which all nodes compute alike without talking. A home that is busy costs more than
/// reading the prefix again elsewhere, so that load stays bounded.
namespace dockpoint {

/// One part of a prompt, shared by the requests that name the same id.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;
};

/// What the choice depends on.
struct ReplicaQuery {
  std::string service;
  TrafficClass traffic = TrafficClass::kOnline;
  std::vector<PromptPart> prompt;  ///< In order; the last part is the request's own.
  std::set<std::string> excluded;  ///< Replicas that failed this request before.
};

/// The outcome of a choice.
struct ReplicaChoice {
  const Replica* replica = nullptr;  ///< Null if no replica can take the request.
  Duration expected_wait{};          ///< For a slot; zero if one is expected to be free.
  double missing_tokens = 0;         ///< Prompt tokens expected to be read there.
  double expected_load = 0;          ///< Requests and items expected there, this one left out.
  bool own_slot = false;             ///< In a slot of this node's own, see slot_shares.hpp.
};

/// See the top of this file. Not thread-safe; borrows knobs and directory.
class ReplicaSelector {
 public:
  /// @param zone of this node.
  ReplicaSelector(const Knobs& knobs, const ReplicaDirectory& directory, std::string zone,
                  std::uint64_t seed);

  ReplicaChoice choose(const ReplicaQuery& query, TimePoint now);

  /// Cold replicas get no more than the limiter admits from then on; it must outlive the selector.
  void limit_cold_replicas(ColdReplicaLimiter& limiter) { cold_limiter_ = &limiter; }

  /// Online requests go to slots of this node's own while one is free; must outlive the selector.
  void use_slot_shares(SlotShares& shares) { shares_ = &shares; }

  /// Remembers that a replica has read this prompt.
  void note_prompt(const std::string& replica, const std::vector<PromptPart>& prompt,
                   TimePoint now);
  /// Learns how long online requests of a service hold a slot. Items take several times as long
  /// and give way: neither a wait nor a rate of requests follows from theirs.
  void note_service_time(const std::string& service, Duration time);

 private:
  struct PrefixEntry {
    std::uint64_t chain = 0;
    std::vector<std::pair<std::uint32_t, TimePoint>> replicas;  ///< Key and last use.
  };
  /// A prefix of the query's prompt with its place in the cache of prefixes.
  struct PrefixStep {
    std::uint64_t chain = 0;
    double tokens = 0;  ///< Of this and all parts before it.
    const PrefixEntry* entry = nullptr;
  };
  struct Candidate {
    const Replica* replica = nullptr;
    double expected_load = 0;   ///< With requests that are not seen yet.
    double competing_load = 0;  ///< The same without batch items that would give way.
    double missing_tokens = 0;
    double wait_ms = 0;
    double cost_ms = 0;
    bool own_slot = false;
  };
  /// What is learnt of a service's requests.
  struct ServiceHistory {
    double service_ms = 0;  ///< Mean time that an online request holds a slot; 0: none has ended.
    DecayingCount sends;    ///< Of this node.
  };

  /// @return the free slot of this node's own where the request ends soonest, if there is one and
  /// no cached part of the prompt weighs more.
  Candidate own_slot(const ReplicaQuery& query, const std::vector<PrefixStep>& steps,
                     TimePoint now);
  /// Counts the choice.
  ReplicaChoice record_choice(const std::string& service, const Candidate& candidate,
                              TimePoint now);
  /// @return whether the replica has answered well enough lately.
  bool trusted(const Replica& replica, TimePoint now) const;
  /// @return whether a request may go to the replica, whatever its load.
  bool usable(const Replica& replica, const ReplicaQuery& query, TimePoint now) const;
  std::vector<const Replica*> candidates(const ReplicaQuery& query, TimePoint now) const;
  /// @return whether the replica is cold, and one more request is more than it carries.
  bool over_cold_limit(const Replica& replica, TimePoint now) const;
  /// @return the step before the last one, up to which other requests may share the prompt; null if
  /// the prompt has no such part.
  static const PrefixStep* shared_step(const std::vector<PrefixStep>& steps);
  std::vector<PrefixStep> steps_of(const std::vector<PromptPart>& prompt) const;
  /// @return keys of the first and second home of the query's shared parts.
  std::pair<std::uint32_t, std::uint32_t> homes(const std::vector<const Replica*>& all,
                                                const std::vector<PrefixStep>& steps) const;
  double cached_tokens(const Replica& replica, const std::vector<PrefixStep>& steps,
                       const std::pair<std::uint32_t, std::uint32_t>& homes, TimePoint now) const;
  /// @return prompt tokens of other nodes' requests that the replica is expected to be reading.
  double peer_prefill(const Replica& replica, TimePoint now) const;
  /// @return requests that the fleet has started since the load was as it is known.
  double unseen_requests(const std::vector<const Replica*>& open, const std::string& service,
                         TimePoint now) const;
  /// @return mean time that a request of the service holds a slot.
  double service_ms(const std::string& service) const;
  /// @return where the requests that are not seen yet are expected among the candidates.
  WaterFilling spread_unseen(const std::vector<const Replica*>& open, const ReplicaQuery& query,
                             TimePoint now) const;
  /// @return items at a replica that are expected to give way to a request.
  double yielding_items(const Replica& replica, TrafficClass traffic) const;
  /// @return indices of the candidates to compare, those drawn by load first.
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
  ColdReplicaLimiter* cold_limiter_ = nullptr;  ///< Null: there is no limit.
  SlotShares* shares_ = nullptr;                ///< Null: no slots are a node's own.
  std::mt19937_64 random_;
  std::list<PrefixEntry> recent_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<PrefixEntry>::iterator> by_chain_;
  std::unordered_map<std::string, ServiceHistory> services_;
};

}  // namespace dockpoint
