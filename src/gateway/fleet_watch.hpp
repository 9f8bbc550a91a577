#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/routing/removal_grace.hpp"
#include "dockpoint/routing/replica_subset.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/record_server.hpp"

/// A node's view of the fleet, built from external records: the operator's routes and the replica
/// records.
///
/// Both are compacted topics that the node follows. Every node also serves its view to its peers,
/// so that a node that starts or is cut off while the log is unreachable gets both from them. The
/// version of the routes only increases within one run of a node, whatever the source. Replicas are
/// taken from a peer only if it has read further; after that, records that the node reads itself
/// are applied only from that position on, so that its view never goes back. Records that lapsed
/// during a log outage are kept for a grace period, see removal_grace.hpp.
///
/// In a large fleet the node uses only a subset of the replicas, see routing/replica_subset.hpp. It
/// keeps the records of the others for its peers and for when the subset changes.
///
/// A record may have been written by another program. An unreadable record names no replica: its
/// replica gets no more work, and the other records stay in effect. A record of an earlier
/// incarnation of a replica, from an old page or a peer that is behind, is ignored.
namespace dockpoint {

/// Partitions and keys of the fleet's records in the log.
struct FleetTopics {
  TopicPartition configuration;
  std::string configuration_key;
  std::string evacuation_prefix;  ///< Prefix of the keys, in the configuration's partition, that
                                  ///< each name an evacuated zone; empty: evacuations are not used.
  TopicPartition replicas;
};

/// Parses the values of the fleet's records. Stateless.
class FleetReader {
 public:
  virtual ~FleetReader() = default;
  virtual Result<RoutingConfiguration> read_configuration(const std::string& value) const = 0;
  virtual Result<ReplicaRecord> read_replica(const std::string& id,
                                             const std::string& value) const = 0;
};

/// See the top of this file. Single-threaded; borrows context, log and reader.
class FleetWatch {
 public:
  /// Called after a newer configuration took effect.
  using ConfigurationChanged = std::function<void()>;

  FleetWatch(GatewayContext& context, PartitionedLog& log, const FleetReader& reader,
             const FleetTopics& topics, std::uint64_t seed, ConfigurationChanged on_change);
  ~FleetWatch();

  /// @param peers number of peers that reach the log and notify this node when they are ahead of
  /// it.
  void tick(TimePoint now, std::size_t peers);

  /// @return the state to send to a peer; owners are left empty.
  FleetState state() const;
  /// @return the version and positions up to which this node knows the fleet.
  FleetKnowledge knowledge() const;
  /// Applies the state received from a peer.
  void take(const FleetState& state, const std::string& peer);

  /// @return the offset up to which the replica records are known.
  LogOffset replicas_position() const;

  /// @return whether the node should ask a peer, because the log does not currently keep it up to
  /// date.
  bool needs_peer(TimePoint now) const;
  /// Called after the machine was suspended: the known state counts as unconfirmed until the log
  /// confirms it.
  void mark_unconfirmed();
  /// @return the watch state and age of the configuration, and of the replica records.
  WatchAge configuration_age(TimePoint now) const;
  WatchAge replicas_age(TimePoint now) const;
  bool has_configuration() const { return context_.configuration->version > 0; }
  /// @return whether the replica records have been read, from the log or a peer.
  bool replicas_known() const { return replicas_known_; }
  /// @return whether this node may not see all replicas, so that its view does not show which
  /// software versions serve.
  bool view_partial() const;
  /// @return how often the view of the replicas was replaced as a whole. Replicas that came and
  /// went since the view before are not in it.
  std::uint64_t replacements() const { return replacements_; }

  /// Sets the server from which other nodes read the records that this node relays; it must outlive
  /// this object.
  void set_record_server(RecordServer& server) { record_server_ = &server; }
  /// Sets how records are read from now on, see relayed_log.hpp.
  /// @param relays whether they are read from other nodes.
  /// @param whole whether this node reads the records of all replicas and relays them, rather than
  /// only those of its subset.
  void set_relaying(bool relays, bool whole);
  /// Applies the replica counts sent by a node that knows all replicas.
  void take_counts(const std::vector<ReplicaCount>& counts);
  /// @return replica counts, counted here or received from a peer.
  std::vector<ReplicaCount> replica_counts() const { return subset_.counts(); }
  /// @return whether a record belongs to the subset of another node of this zone. Removals belong
  /// to every subset.
  bool belongs_to(std::uint64_t node_hash, const KeyedRecord& record) const;
  /// @return whether this node's subset includes a replica.
  bool uses(const std::string& service, const std::string& zone, std::string_view name) const {
    return subset_.contains(service, zone, name);
  }
  /// @return the number of replicas, counted here or received from a peer.
  std::size_t replicas() const { return subset_.replicas(); }
  /// @return the number of slices that the zone's nodes are divided into.
  std::size_t slices() const { return subset_.slices(); }

 private:
  class Follower;

  void take_operator_page(const std::vector<KeyedRecord>& records);
  void take_operator_record(const KeyedRecord& record);
  void take_configuration(const std::string& value, const std::string& source);
  /// @return the zone whose evacuation the operator's record starts or ends; empty if it concerns
  /// none.
  std::string evacuated_zone(const KeyedRecord& record) const;
  void log_evacuations(bool changed, const std::string& source);
  void take_evacuations(const FleetState& state, const std::string& peer);
  /// Content of the last record read under a name.
  struct KnownRecord {
    std::string value;
    std::string
        replica;  ///< Its id, in the directory if it is used; empty if the record names none.
    std::string service;
    std::string zone;
    bool counted = false;  ///< Whether it is included in the subset's counts.
  };

  /// @param name under which the replica registers.
  void take_replica(const std::string& name, const std::string& value);
  /// Handles an unreadable record: it names no replica, whatever the previous record held.
  void take_unreadable_record(const std::string& name, const std::string& value,
                              const std::string& problem);
  void count_replica(KnownRecord& known);
  void discount_replica(KnownRecord& known);
  /// Removes the replica from the directory and from the counts; the record's value is kept.
  void forget_replica(KnownRecord& known);
  /// Adds a replica whose record was read before to the directory. @return whether the record could
  /// be parsed.
  bool use_known_record(const std::string& name, const std::string& value);
  /// Adds replicas that now belong to this node's subset to the directory, and removes those that
  /// no longer do.
  void apply_subset();
  /// @return whether the record belongs to an incarnation older than the newest one known.
  bool is_of_earlier_incarnation(const ReplicaRecord& record) const;
  /// Handles a removed record: removes the replica at once, or after its grace period.
  void drop_record(const std::string& id);
  void remove_replica(const std::string& id);
  void update_record_metrics();
  /// Suspends or resumes new work for replicas whose removal is deferred; see RemovalGrace.
  void update_deferred_replicas();
  void retain_replicas(const std::vector<std::string>& ids);
  /// Called when the log becomes unreachable or reachable.
  void note_reachable(bool reachable);
  WatchAge age_of(const Follower& follower, TimePoint now) const;

  GatewayContext& context_;
  const FleetReader& reader_;
  const FleetTopics topics_;
  ConfigurationChanged on_change_;
  std::string configuration_value_;
  std::map<std::string, KnownRecord>
      records_;  ///< By name; includes those whose removal is deferred.
  std::map<std::string, std::int64_t>
      newest_start_;  ///< By name: start of the newest incarnation, in Unix milliseconds, if the
                      ///< replica reports it.
  std::size_t unreadable_ = 0;  ///< Number of unreadable entries in `records_`.
  ReplicaSubset subset_;
  RecordServer* record_server_ = nullptr;
  bool relays_ = false;
  bool whole_ = true;
  bool counts_from_peer_ =
      false;  ///< Counts come from a node that knows all replicas; this node does not count.
  std::uint64_t subset_revision_ = 0;  ///< Subset revision that the directory reflects.
  std::uint64_t subset_widened_ = 0;   ///< Value of `widened()` that the records reflect.
  RemovalGrace removal_grace_;
  std::set<std::string> suspended_;  ///< Names with deferred removal that get no new work.
  std::set<std::string>
      mass_expired_services_;  ///< Services with a mass expiry, kept while any removal is deferred.
  LogOffset peer_position_ = 0;  ///< Position of the replicas last taken from a peer.
  bool replicas_known_ = false;
  std::uint64_t replacements_ = 0;
  TimePoint now_{};
  TimePoint started_at_{};
  std::unique_ptr<Follower> configuration_follower_;
  std::unique_ptr<Follower> replica_follower_;
};

}  // namespace dockpoint
