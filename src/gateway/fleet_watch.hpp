#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/log/keyed_watch.hpp"
#include "dockpoint/routing/removal_grace.hpp"
#include "dockpoint/routing/replica_subset.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/record_server.hpp"

/// What a node knows of the fleet from outside: the operator's routes and the replicas' records.
///
/// Both are compacted topics that the node follows. Every node also answers its peers with what it
/// has, so that one that starts, or is cut off, while the log is away gets both from them. The
/// version of the routes only grows within a node's life, wherever a version comes from. Replicas
/// are taken from a peer only if it has read further; records that the node reads itself count only
/// from that point on, so that what it knows never goes back. Records that lapsed while the log was
/// away have time to come back, see removal_grace.hpp.
///
/// Of a large fleet the node uses a part only, see routing/replica_subset.hpp: the records of the
/// other replicas are kept as they are, for peers and for when the part changes.
///
/// A record may have been left by another writer. One that cannot be read names no replica: work
/// stops going there, and the other records hold. A record of an earlier life of a replica, from an
/// old page or a peer that is behind, changes nothing.
namespace dockpoint {

/// Where the fleet's records lie in the log.
struct FleetTopics {
  TopicPartition configuration;
  std::string configuration_key;
  std::string evacuation_prefix;  ///< Of the keys, beside the configuration's, that name an
                                  ///< evacuated zone; empty: there are none.
  TopicPartition replicas;
};

/// Reads the values of the fleet's records. Stateless.
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
  /// Called when a newer configuration is in force.
  using ConfigurationChanged = std::function<void()>;

  FleetWatch(GatewayContext& context, PartitionedLog& log, const FleetReader& reader,
             const FleetTopics& topics, std::uint64_t seed, ConfigurationChanged on_change);
  ~FleetWatch();

  /// @param peers nodes that reach the log and tell this one when they are ahead of it.
  void tick(TimePoint now, std::size_t peers);

  /// @return what this node knows, for a peer; owners are left empty.
  FleetState state() const;
  /// @return how far this node's knowledge of the fleet reaches.
  FleetKnowledge knowledge() const;
  /// Takes what a peer knows.
  void take(const FleetState& state, const std::string& peer);

  /// @return the offset up to which the replicas' records are known.
  LogOffset replicas_position() const;

  /// @return whether the node should ask a peer: it lacks something that the log does not give.
  bool needs_peer(TimePoint now) const;
  /// The machine was suspended: what is known counts as doubtful until the log confirms it.
  void mark_unconfirmed();
  /// @return what the node can say of the age of the configuration, and of the replicas' records.
  WatchAge configuration_age(TimePoint now) const;
  WatchAge replicas_age(TimePoint now) const;
  bool has_configuration() const { return context_.configuration->version > 0; }
  /// @return whether the replicas' records have been read, from wherever.
  bool replicas_known() const { return replicas_known_; }

  /// Other nodes read from `server` what this one passes on to it; must outlive this.
  void set_record_server(RecordServer& server) { record_server_ = &server; }
  /// How records are read from now on, see relayed_log.hpp.
  /// @param relays whether they come from other nodes, @param whole whether this node gets those of
  /// all replicas, not its part alone, and passes them on.
  void set_relaying(bool relays, bool whole);
  /// A node that knows all replicas has told how many there are.
  void take_counts(const std::vector<ReplicaCount>& counts);
  /// @return how many replicas this node knows of, or was told of.
  std::vector<ReplicaCount> replica_counts() const { return subset_.counts(); }
  /// @return whether another node of this zone uses the replica of a record. Removals concern all.
  bool belongs_to(std::uint64_t node_hash, const KeyedRecord& record) const;
  /// @return replicas that this node knows of, or was told of.
  std::size_t replicas() const { return subset_.replicas(); }
  /// @return parts that the zone's nodes divide into.
  std::size_t slices() const { return subset_.slices(); }

 private:
  class Follower;

  void take_operator_page(const std::vector<KeyedRecord>& records);
  void take_operator_record(const KeyedRecord& record);
  void take_configuration(const std::string& value, const std::string& source);
  /// @return the zone that a record of the operator evacuates or takes back; empty: none.
  std::string evacuated_zone(const KeyedRecord& record) const;
  void log_evacuations(bool changed, const std::string& source);
  void take_evacuations(const FleetState& state, const std::string& peer);
  /// What the record of a replica stands for now.
  struct KnownRecord {
    std::string value;
    std::string replica;  ///< Its id, in the directory if it is used; empty: the record names none.
    std::string service;
    std::string zone;
    bool counted = false;  ///< In the subset's counts.
  };

  /// @param name that the replica registers under.
  void take_replica(const std::string& name, const std::string& value);
  /// The record cannot be read: it names no replica, whatever stood there before.
  void take_unreadable_record(const std::string& name, const std::string& value,
                              const std::string& problem);
  void count_replica(KnownRecord& known);
  void discount_replica(KnownRecord& known);
  /// Takes the record out of the directory and of what is counted; its value stays.
  void forget_replica(KnownRecord& known);
  /// Takes a replica into use whose record was read before. @return whether it could be.
  bool use_known_record(const std::string& name, const std::string& value);
  /// Takes replicas into use that belong to this node's part now, and others out of it.
  void apply_subset();
  /// @return whether the record is of a life that is over already.
  bool is_of_earlier_incarnation(const ReplicaRecord& record) const;
  /// The record of a replica is gone: so is the replica, at once or after its grace time.
  void drop_record(const std::string& id);
  void remove_replica(const std::string& id);
  void update_record_metrics();
  /// Gives replicas whose removal is held work, or none; see RemovalGrace.
  void update_deferred_replicas();
  void retain_replicas(const std::vector<std::string>& ids);
  /// The log is lost or regained.
  void note_reachable(bool reachable);
  WatchAge age_of(const Follower& follower, TimePoint now) const;

  GatewayContext& context_;
  const FleetReader& reader_;
  const FleetTopics topics_;
  ConfigurationChanged on_change_;
  std::string configuration_value_;
  std::map<std::string, KnownRecord> records_;  ///< By name; those whose removal is held included.
  std::map<std::string, std::int64_t>
      newest_start_;            ///< By name: start of the newest life, as Unix
                                ///< milliseconds, where replicas tell it.
  std::size_t unreadable_ = 0;  ///< Of `records_`.
  ReplicaSubset subset_;
  RecordServer* record_server_ = nullptr;
  bool relays_ = false;
  bool whole_ = true;
  bool counts_from_peer_ = false;      ///< Replicas are not counted here, but by whoever knows all.
  std::uint64_t subset_revision_ = 0;  ///< That the directory follows.
  std::uint64_t subset_widened_ = 0;   ///< That the records follow.
  RemovalGrace removal_grace_;
  std::set<std::string> suspended_;  ///< Names that are held, and without new work.
  std::set<std::string>
      mass_expired_services_;    ///< Whose records lapsed together, while any are held.
  LogOffset peer_position_ = 0;  ///< That replicas taken from a peer stand at.
  bool replicas_known_ = false;
  TimePoint now_{};
  TimePoint started_at_{};
  std::unique_ptr<Follower> configuration_follower_;
  std::unique_ptr<Follower> replica_follower_;
};

}  // namespace dockpoint
