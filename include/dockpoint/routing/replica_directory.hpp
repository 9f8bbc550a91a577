#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/decaying_count.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/load_digest.hpp"
#include "dockpoint/routing/replica_pace.hpp"
#include "dockpoint/routing/served_version.hpp"
#include "dockpoint/routing/zone_evacuations.hpp"

/// One node's view of the replicas: their records, their load and their health.
///
/// Load comes from three sources, none of which needs a call: this node's own requests in flight,
/// the load digests of other nodes, and the load that replicas report in their answers.
/// Health is passive: failures of this node's own requests eject a replica for a while; it is
/// readmitted through one trial request at a time. Failures reported by other nodes count too, see
/// outlier_detection.hpp.
namespace dockpoint {

/// Kind of work, by urgency.
enum class TrafficClass { kOnline, kBatch };

/// Registration record of a replica.
///
/// A replica that crashes may restart under the same name. All state kept about a replica (load,
/// cached prefixes, failures, connections, reports of other nodes) belongs to one incarnation of
/// it. So `id` differs between incarnations, and everything except the request itself uses it.
struct ReplicaRecord {
  std::string id;  ///< Of one incarnation of the replica, see `replica_incarnation_id`.
  std::string service;
  Address address;
  std::string zone;
  int slots = 0;
  bool draining = false;
  Duration cold_remaining{};       ///< Time until it is warm, as of when the record was written.
  std::string name{};              ///< Registered name; empty: the same as `id`.
  std::int64_t started_ms = 0;     ///< Unix time at which this incarnation started; 0: not stated.
  std::string software_version{};  ///< Opaque; versions have no order.

  /// @return the name that the replica registered under.
  const std::string& registered_name() const { return name.empty() ? id : name; }
};

/// @return the id of the incarnation of a replica that started at `started_ms`.
std::string replica_incarnation_id(const std::string& name, std::int64_t started_ms);

/// Load that a replica reports in an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// Current processing time relative to the usual one of this replica; 2: twice as long. Empty if
  /// the replica does not report it.
  std::optional<double> pace{};
  bool pace_unreadable = false;  ///< The reported pace is not a valid value.
};

/// Health signal that the outcome of a request gives about its replica.
enum class ReplicaSignal {
  kAnswered,     ///< It answered, with any status.
  kUnreachable,  ///< No connection could be made, or its machine does not respond.
  kBroken,       ///< The connection ended before the answer was complete.
  kFailed,       ///< It answered with a failure.
  kSilent,       ///< Its answer is long overdue; the request is still in flight.
};

/// State of one replica as this node knows it.
struct Replica {
  ReplicaRecord record;
  std::uint32_t key = 0;   ///< Key of the replica in load digests.
  int online = 0;          ///< Online requests of this node in flight there.
  int batch = 0;           ///< Batch items of this node in flight there.
  int peer_in_flight = 0;  ///< Requests and items of other nodes in flight there, by their digests.
  int peer_batch = 0;      ///< Batch items among `peer_in_flight`.
  double prefill_tokens = 0;       ///< Prompt tokens sent by this node, no answer byte yet.
  double peer_prefill_tokens = 0;  ///< The same for other nodes, as of `peer_prefill_at`.
  TimePoint peer_prefill_at{};     ///< When the last of their digests arrived.
  ReportedLoad reported;
  TimePoint reported_at{};
  TimePoint full_until{};  ///< Considered full until then, after it rejected a request.
  TimePoint cold_until{};
  int failures_in_row = 0;
  int ejections = 0;  ///< Since the last answer; above 0: the replica is on trial.
  TimePoint ejected_until{};
  DecayingCount own_failures{Duration{1}};  ///< Failures that this node saw.
  double peer_failures = 0;                 ///< Failures that other nodes saw, by their digests.
  bool pace_unreadable = false;             ///< It has reported an invalid pace.
  bool outlier = false;  ///< It fails far more often than the other replicas of its service.

  /// @return recent failures seen by all nodes.
  double failures(TimePoint now) const { return own_failures.value(now) + peer_failures; }
  /// @return online requests of all nodes in flight there.
  int all_online() const { return online + peer_in_flight - peer_batch; }
  /// @return batch items of all nodes in flight there.
  int all_batch() const { return batch + peer_batch; }
  /// @return estimated number of requests that run or wait there.
  int load(TimePoint now) const;
  /// @return whether it recently rejected a request because all its slots were in use.
  bool full(TimePoint now) const { return now < full_until; }
  bool on_trial() const { return ejections > 0; }
};

/// The replicas of all services. Not thread-safe.
class ReplicaDirectory {
 public:
  explicit ReplicaDirectory(const Knobs& knobs) : knobs_(knobs), paces_(knobs) {}

  /// Adds a replica or updates its record; the state of a known replica is kept.
  void upsert(const ReplicaRecord& record, TimePoint now);
  /// Removes a replica; requests in flight to it may still end afterwards.
  void remove(const std::string& id);
  /// The replica has restarted: removes this incarnation; all requests in flight to it are lost.
  void end_incarnation(const std::string& id, TimePoint now);
  /// @return whether `end_incarnation` was recently called for the id.
  bool incarnation_ended(const std::string& id) const { return ended_incarnations_.contains(id); }
  /// Removes every replica that is not in `ids`.
  void retain(const std::vector<std::string>& ids);

  void started(const std::string& id, TrafficClass traffic, double prefill_tokens);
  /// The first byte of the answer arrived, or the request ended without one.
  void prefilled(const std::string& id, double prefill_tokens);
  void ended(const std::string& id, TrafficClass traffic);
  void signal(const std::string& id, ReplicaSignal signal, TimePoint now);
  void report(const std::string& id, const ReportedLoad& load, TimePoint now);
  /// The replica rejected a request: it is marked as full, unless it has just reported a free slot.
  /// @return whether it was marked as full.
  bool turned_away(const std::string& id, TimePoint now);

  /// Records that a replica has reported an invalid pace. @return whether it is the first time.
  bool first_unreadable_pace(const std::string& id);

  /// Relative processing speed of the replicas.
  const ReplicaPaces& paces() const { return paces_; }
  ReplicaPaces& paces() { return paces_; }

  /// Replaces the last digest of each node in `digests`.
  void set_peer_loads(const std::vector<LoadDigest>& digests, TimePoint now);
  /// A message from a peer arrived: extends the lifetime of its last digest.
  void renew_peer(std::uint32_t node, TimePoint now);
  /// Detects replicas that fail far more often than the others of their service. To be called
  /// several times a second.
  /// @return replicas that became outliers or ceased to be.
  std::vector<const Replica*> update_outliers(TimePoint now);
  /// Drops the digests of peers that have sent nothing within their lifetime.
  void expire_peer_loads(TimePoint now);
  /// @return mean age of the digests in use; zero if there are none.
  Duration mean_peer_age(TimePoint now) const;
  /// @return number of peers whose digests are in use.
  std::size_t peers() const { return peers_.size(); }
  /// @return batch items that those peers run or have pending.
  std::int64_t peer_pending_items() const { return peer_pending_items_; }
  /// @return this node's requests in flight and observed failures; replicas with neither are
  /// omitted.
  std::vector<LoadDigestEntry> own_load(TimePoint now) const;

  /// Finds the peer that runs the most items at a replica, and counts one item less there until its
  /// next digest. @return the peer, see `node_key`, or nothing if no peer is known to run one.
  std::optional<std::uint32_t> claim_peer_item(std::uint32_t replica_key, TimePoint now);

  const Replica* find(const std::string& id) const;
  /// @return the replica with this digest key, or null.
  const Replica* find_key(std::uint32_t replica_key) const;
  /// @return whether new work may go to the replica: it is not draining, and its zone is not
  /// evacuated.
  bool takes_work(const Replica& replica) const {
    return !replica.record.draining && !evacuations_.contains(replica.record.zone);
  }
  /// @return replicas of the service that accept new work.
  std::vector<const Replica*> ready(const std::string& service) const;
  /// @return whether any replica of the service with this software version accepts new work.
  bool serves(const std::string& service, const std::string& software_version) const;
  /// Evacuated zones: their replicas get no new work.
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  ZoneEvacuations& evacuations() { return evacuations_; }
  const std::map<std::string, Replica>& all() const { return replicas_; }
  bool ejected(const Replica& replica, TimePoint now) const { return now < replica.ejected_until; }

  /// Changes whenever a replica is added, removed or starts to drain.
  std::uint64_t revision() const { return revision_; }
  /// @return software versions of the replicas that were added or changed since the last call,
  /// also of those that have been removed since.
  std::set<ServedVersion> take_recorded_versions() { return std::exchange(recorded_versions_, {}); }

 private:
  struct PeerLoad {
    std::vector<LoadDigestEntry> entries;
    std::uint32_t pending_items = 0;
    TimePoint received{};
    TimePoint heard{};  ///< When the last message of the peer arrived.
  };

  /// Load of all peers together at one replica, updated incrementally with each digest: in a large
  /// fleet, summing over all peers would cost more than everything else.
  struct PeerSum {
    int in_flight = 0;
    int batch = 0;
    int failures = 0;
    double prefill_tokens = 0;
    TimePoint prefill_at{};
  };

  Replica* mutable_find(const std::string& id);
  void eject(Replica& replica, TimePoint now);
  /// Adds (`sign` 1) or subtracts (-1) the load in the last digest of a peer.
  void count_peer_load(const PeerLoad& peer, int sign, TimePoint now);
  /// Copies the sum over all peers into the replica, if it is known.
  void copy_peer_sum(std::uint32_t key);
  void forget_key(const Replica& replica);
  double prefill_left(double tokens, TimePoint since, TimePoint now) const;

  const Knobs& knobs_;
  ReplicaPaces paces_;
  std::map<std::string, Replica> replicas_;
  std::unordered_map<std::uint32_t, Replica*>
      by_key_;  ///< Points into `replicas_`, whose elements do not move.
  std::unordered_map<std::uint32_t, PeerLoad> peers_;     ///< By node_key.
  std::int64_t peer_pending_items_ = 0;                   ///< Sum over `peers_`.
  std::unordered_map<std::uint32_t, PeerSum> peer_sums_;  ///< By the replica's key.
  std::map<std::string, TimePoint>
      ended_incarnations_;  ///< Recently ended ones, with the time of `end_incarnation`.
  ZoneEvacuations evacuations_;
  std::uint64_t revision_ = 1;
  std::set<ServedVersion> recorded_versions_;  ///< Since `take_recorded_versions`.
};

}  // namespace dockpoint
