#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// How long work takes at a replica, against what is usual for its service.
///
/// Load pattern: the replicas of a service differ in speed, and share their machines with other
/// work that slows some of them down for moments. A slot of a slow replica frees later, and a queue
/// there is longer in time than in requests.
///
/// Two things are kept apart: what is usual for the replica, which is learnt over many runs and
/// told between nodes, and what holds at this moment, which the replica states in its answers and
/// which is worth nothing a moment later. A factor of 1 is the middle of the service, 2 takes twice
/// as long.
///
/// Nodes tell each other times, not factors: each node sees a few replicas often and the others
/// hardly ever, so the middle of what it has seen itself is not that of the service. One node's
/// word about a replica that this node does not know counts for nothing, of two the milder one
/// counts, of more the median. A factor only weighs: no replica is left out for it.
///
/// The time of a step does not depend on how long a run is. It grows with the batch, which is much
/// the same at all replicas while requests are spread over them. A run that is slowed for a moment
/// moves what is learnt by a bounded amount.
namespace dockpoint {

/// What a node has learnt of one replica, as it travels in digests.
struct PaceEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t step_us = 0;  ///< Usual time of a step there, in microseconds.
  friend bool operator==(const PaceEntry&, const PaceEntry&) = default;
};

/// What a sample measures.
enum class PaceSample {
  kEvent,  ///< Mean time between two events of a stream.
  kRun,    ///< A whole run. It counts at services that answer with no stream.
};

enum class PaceClass { kFast, kUsual, kSlow };

/// @return the class in a word, for logs and metrics.
const char* to_string(PaceClass pace);

/// A replica whose usual pace differs from the middle for the first time, or otherwise than before.
struct PaceChange {
  std::uint32_t replica_key = 0;
  PaceClass before = PaceClass::kUsual;
  PaceClass now = PaceClass::kUsual;
  double factor = 1;
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ReplicaPaces {
 public:
  explicit ReplicaPaces(const Knobs& knobs) : knobs_(knobs) {}

  /// A life of a replica has begun; it starts at the middle.
  void add(std::uint32_t replica_key, const std::string& service);
  /// The replica is gone.
  void forget(std::uint32_t replica_key);

  /// A run of this node at the replica has shown how long a step of it takes.
  void observed(std::uint32_t replica_key, PaceSample kind, Duration step, TimePoint now);
  /// The replica has stated its factor for this moment in an answer.
  void stated(std::uint32_t replica_key, double factor, TimePoint now);
  /// Another node has told what it has learnt.
  void add_peer_paces(std::uint32_t node, const std::vector<PaceEntry>& entries, TimePoint now);

  /// @return the factor that is expected of a run that starts now; 1 if nothing is known.
  double expected(std::uint32_t replica_key, TimePoint now) const;
  /// @return the usual factor; 1 unless it clearly differs from the middle.
  double usual(std::uint32_t replica_key) const;
  /// Brings the usual factors up to date. Call it several times a second.
  /// @return replicas whose class has changed.
  std::vector<PaceChange> update(TimePoint now);
  /// @return what the other nodes should know now: nothing while all replicas work alike.
  std::vector<PaceEntry> report(TimePoint now);
  /// @return replicas by class.
  std::map<PaceClass, int> classes() const;

 private:
  /// Logarithm of a time, learnt from samples.
  struct Level {
    double value = 0;
    double deviation = 0;  ///< Mean absolute distance of a sample.
    int samples = 0;
  };
  struct PeerLevel {
    double value = 0;  ///< Logarithm of a step's time.
    TimePoint received{};
  };
  struct ReplicaState {
    std::string service;
    Level step;  ///< Of this node's runs, logarithm of microseconds.
    std::map<std::uint32_t, PeerLevel> peer_levels;  ///< Of other nodes, by their key.
    double stated = 0;                               ///< Logarithm of the factor stated last.
    double stated_usually = 0;                       ///< What `stated` mostly is.
    std::optional<TimePoint> stated_at;              ///< Of `stated`.
    double usual = 1;
    bool differs = false;  ///< Clearly from the middle.
  };
  struct Service {
    bool streams = false;  ///< Runs as a whole are not counted.
    bool differ = false;   ///< Its replicas are known not to be alike.
  };

  bool learnt(const ReplicaState& known) const;
  /// @return the middle of the words about a replica, the service's own middle counting as one.
  double consensus_distance(const ReplicaState& known, double middle) const;
  void update_service(const std::vector<ReplicaState*>& replicas, Service& service);
  PaceClass class_of(const ReplicaState& known) const;

  const Knobs& knobs_;
  std::unordered_map<std::uint32_t, ReplicaState> replicas_;
  std::map<std::string, Service> services_;
  TimePoint next_report_{};
};

}  // namespace dockpoint
