#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/decaying_count.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/load_digest.hpp"
#include "dockpoint/routing/replica_pace.hpp"
#include "dockpoint/routing/zone_evacuations.hpp"

/// What one node knows of the replicas: their records, the load on them, and how they answered.
///
/// Load comes from three sources, none of which needs a call: this node's own requests in flight,
/// the digests that other nodes send of theirs, and the load that replicas state in answers.
/// Health is passive: failures of this node's own requests eject a replica for a while; it comes
/// back through one trial request at a time. Failures that other nodes tell of count too, see
/// outlier_detection.hpp.
namespace dockpoint {

/// Kind of work, by urgency.
enum class TrafficClass { kOnline, kBatch };

/// A replica as it registers itself.
///
/// A replica that crashes may start again under the name that it had. All that is known of a
/// replica belongs to one life of it: load, prefixes, failures, connections, what other nodes tell.
/// So `id` differs between lives, and everything in the product but the request itself goes by it.
struct ReplicaRecord {
  std::string id;  ///< Of one life of the replica, see `replica_life_id`.
  std::string service;
  Address address;
  std::string zone;
  int slots = 0;
  bool draining = false;
  Duration cold_remaining{};    ///< How long it stays slow, from when the record was written.
  std::string name{};           ///< Under which it registers; empty: the same as `id`.
  std::int64_t started_ms = 0;  ///< Unix time of the start of this life; 0: it does not say.

  /// @return the name that the replica itself goes by.
  const std::string& registered_name() const { return name.empty() ? id : name; }
};

/// @return the id of the life of a replica that began at a time.
std::string replica_incarnation_id(const std::string& name, std::int64_t started_ms);

/// Load that a replica states in an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes at this moment, against what is usual there; 2: twice as long. Nothing if
  /// the replica does not say.
  std::optional<double> pace{};
  bool pace_unreadable = false;  ///< It says something that cannot be.
};

/// What the end of a request says about a replica.
enum class ReplicaSignal {
  kAnswered,     ///< It answered, whatever the status.
  kUnreachable,  ///< No connection could be made, or its machine is silent.
  kBroken,       ///< The connection ended without a whole answer.
  kFailed,       ///< It answered that it failed.
  kSilent,       ///< It has not answered for far longer than it should; the request goes on.
};

/// One replica as seen from this node.
struct Replica {
  ReplicaRecord record;
  std::uint32_t key = 0;           ///< Of the replica in digests.
  int online = 0;                  ///< Requests of this node in flight there.
  int batch = 0;                   ///< Items of this node in flight there.
  int peer_in_flight = 0;          ///< In flight there from other nodes, by their digests.
  int peer_batch = 0;              ///< Items among them.
  double prefill_tokens = 0;       ///< Prompt tokens sent by this node and not answered yet.
  double peer_prefill_tokens = 0;  ///< The same of other nodes, when they said so.
  TimePoint peer_prefill_at{};     ///< When the last of them said so.
  ReportedLoad reported;
  TimePoint reported_at{};
  TimePoint full_until{};  ///< It has turned a request away and is taken to be full until then.
  TimePoint cold_until{};
  int failures_in_row = 0;
  int ejections = 0;  ///< Since the last answer; above 0 the replica is on trial.
  TimePoint ejected_until{};
  DecayingCount own_failures{Duration{1}};  ///< That this node saw.
  double peer_failures = 0;                 ///< That other nodes saw, by their digests.
  bool pace_unreadable = false;             ///< It has stated a pace that cannot be.
  bool outlier = false;                     ///< It fails far more often than the others.

  /// @return failures lately, of all nodes.
  double failures(TimePoint now) const { return own_failures.value(now) + peer_failures; }
  /// @return online requests in flight there, of all nodes.
  int all_online() const { return online + peer_in_flight - peer_batch; }
  /// @return items in flight there, of all nodes.
  int all_batch() const { return batch + peer_batch; }
  /// @return requests estimated to run or wait there.
  int load(TimePoint now) const;
  /// @return whether it lately turned a request away for want of a slot.
  bool full(TimePoint now) const { return now < full_until; }
  bool on_trial() const { return ejections > 0; }
};

/// The replicas of all services. Not thread-safe.
class ReplicaDirectory {
 public:
  explicit ReplicaDirectory(const Knobs& knobs) : knobs_(knobs), paces_(knobs) {}

  /// Takes a record; what is known of a replica that stays is kept.
  void upsert(const ReplicaRecord& record, TimePoint now);
  /// The replica has left; requests in flight to it may still end.
  void remove(const std::string& id);
  /// The replica has started again: this life of it is over, and so is what is in flight there.
  void end_incarnation(const std::string& id, TimePoint now);
  /// @return whether `end_life` was called for the id lately.
  bool incarnation_ended(const std::string& id) const { return ended_incarnations_.contains(id); }
  /// Removes every replica that `ids` does not hold.
  void retain(const std::vector<std::string>& ids);

  void started(const std::string& id, TrafficClass traffic, double prefill_tokens);
  /// The first byte of the answer came, or the request ended without one.
  void prefilled(const std::string& id, double prefill_tokens);
  void ended(const std::string& id, TrafficClass traffic);
  void signal(const std::string& id, ReplicaSignal signal, TimePoint now);
  void report(const std::string& id, const ReportedLoad& load, TimePoint now);
  /// The replica did not take a request; it is full, unless it has just reported a free slot.
  /// @return whether it counts as full.
  bool turned_away(const std::string& id, TimePoint now);

  /// Notes that a replica has stated a pace that cannot be. @return whether it is the first time.
  bool first_unreadable_pace(const std::string& id);

  /// How fast the replicas work.
  const ReplicaPaces& paces() const { return paces_; }
  ReplicaPaces& paces() { return paces_; }

  /// Takes digests of other nodes in place of their last ones.
  void set_peer_loads(const std::vector<LoadDigest>& digests, TimePoint now);
  /// A peer gave a sign of life: its last digest goes on to count.
  void renew_peer(std::uint32_t node, TimePoint now);
  /// Finds the replicas that fail far more often than the others of their service. Call it several
  /// times a second.
  /// @return replicas that have become outliers, or are none any more.
  std::vector<const Replica*> update_outliers(TimePoint now);
  /// Forgets digests of peers that give no sign of life.
  void expire_peer_loads(TimePoint now);
  /// @return mean age of the digests that count; zero if there are none.
  Duration mean_peer_age(TimePoint now) const;
  /// @return nodes whose digests count.
  std::size_t peers() const { return peers_.size(); }
  /// @return batch items that those nodes run or have to run.
  std::int64_t peer_pending_items() const { return peer_pending_items_; }
  /// @return this node's requests in flight and the failures it saw, replicas without any left out.
  std::vector<LoadDigestEntry> own_load(TimePoint now) const;

  /// Finds a node that runs an item at a replica, and counts one less there until it tells its load
  /// again. @return the node, see `node_key`, or nothing if no peer is known to run one.
  std::optional<std::uint32_t> claim_peer_item(std::uint32_t replica_key, TimePoint now);

  const Replica* find(const std::string& id) const;
  /// @return the replica with a key in digests, or null.
  const Replica* find_key(std::uint32_t replica_key) const;
  /// @return whether new work may go to the replica: it does not drain, and its zone is in use.
  bool takes_work(const Replica& replica) const {
    return !replica.record.draining && !evacuations_.contains(replica.record.zone);
  }
  /// @return replicas of the service that take new work.
  std::vector<const Replica*> ready(const std::string& service) const;
  /// Zones whose replicas get no new work.
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  ZoneEvacuations& evacuations() { return evacuations_; }
  const std::map<std::string, Replica>& all() const { return replicas_; }
  bool ejected(const Replica& replica, TimePoint now) const { return now < replica.ejected_until; }

  /// Changes whenever a replica comes, goes or drains.
  std::uint64_t revision() const { return revision_; }

 private:
  struct PeerLoad {
    std::vector<LoadDigestEntry> entries;
    std::uint32_t pending_items = 0;
    TimePoint received{};
    TimePoint heard{};  ///< Last sign of life.
  };

  /// What all peers together have at one replica, kept up to date digest by digest: a sum over all
  /// peers would cost a large fleet more than everything else.
  struct PeerSum {
    int in_flight = 0;
    int batch = 0;
    int failures = 0;
    double prefill_tokens = 0;
    TimePoint prefill_at{};
  };

  Replica* mutable_find(const std::string& id);
  void eject(Replica& replica, TimePoint now);
  /// Adds (`sign` 1) or takes off (-1) what a peer has told.
  void count_peer_load(const PeerLoad& peer, int sign, TimePoint now);
  /// Copies what peers have there to the replica, if it is known.
  void copy_peer_sum(std::uint32_t key);
  void forget_key(const Replica& replica);
  double prefill_left(double tokens, TimePoint since, TimePoint now) const;

  const Knobs& knobs_;
  ReplicaPaces paces_;
  std::map<std::string, Replica> replicas_;
  std::unordered_map<std::uint32_t, Replica*>
      by_key_;                                         ///< Of `replicas_`, whose places are stable.
  std::unordered_map<std::uint32_t, PeerLoad> peers_;  ///< By node_key.
  std::int64_t peer_pending_items_ = 0;                ///< Their sum.
  std::unordered_map<std::uint32_t, PeerSum> peer_sums_;  ///< By the replica's key.
  std::map<std::string, TimePoint>
      ended_incarnations_;  ///< Of late, and when they were learnt to be over.
  ZoneEvacuations evacuations_;
  std::uint64_t revision_ = 1;
};

}  // namespace dockpoint
