#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// Relative processing time of each replica, compared with the median of its service.
///
/// Load pattern: the replicas of a service differ in speed, and share their machines with other
/// work that temporarily slows some of them down. A slot of a slow replica becomes free later, and
/// a queue there lasts longer than its length suggests.
///
/// Two quantities are kept separate: the usual pace, which is learnt over many runs and exchanged
/// between nodes, and the current pace, which the replica reports in its answers and which expires
/// quickly. A factor of 1 is the median of the service, 2 takes twice as long.
///
/// Nodes exchange times, not factors: each node sees a few replicas often and the others rarely, so
/// the median of its own samples is not that of the service. For a replica that this node has no
/// samples of, the report of a single node is ignored, of two the one nearer to the median is used,
/// of more the median. A factor only weights the choice: no replica is excluded because of it.
///
/// The time of a step does not depend on the length of a run. It grows with the batch size, which
/// is similar at all replicas while requests are spread over them. The influence of a single sample
/// on the learnt value is bounded, so a temporarily slow run has little effect.
namespace dockpoint {

/// Learnt step time of one replica, as sent in load digests.
struct PaceEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t step_us = 0;  ///< Usual time of a step there, in microseconds.
  friend bool operator==(const PaceEntry&, const PaceEntry&) = default;
};

/// What a pace sample measures.
enum class PaceSample {
  kEvent,  ///< Mean time between two events of a stream.
  kRun,    ///< A whole run; used only for services that do not stream.
};

enum class PaceClass { kFast, kUsual, kSlow };

/// @return the name of the class for logs and metrics.
const char* to_string(PaceClass pace);

/// A change of the pace class of a replica.
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

  /// Adds a replica, or resets it after a restart; its factor starts at 1.
  void add(std::uint32_t replica_key, const std::string& service);
  /// Removes a replica.
  void forget(std::uint32_t replica_key);

  /// Adds a sample of the step time from a run of this node at the replica.
  void observed(std::uint32_t replica_key, PaceSample kind, Duration step, TimePoint now);
  /// The replica has reported its current factor in an answer.
  void stated(std::uint32_t replica_key, double factor, TimePoint now);
  /// Stores the step times that another node has reported.
  void add_peer_paces(std::uint32_t node, const std::vector<PaceEntry>& entries, TimePoint now);

  /// @return the expected factor of a run that starts now; 1 if nothing is known.
  double expected(std::uint32_t replica_key, TimePoint now) const;
  /// @return the usual factor; 1 unless it differs significantly from the median.
  double usual(std::uint32_t replica_key) const;
  /// Recomputes the usual factors. To be called several times a second.
  /// @return replicas whose class has changed.
  std::vector<PaceChange> update(TimePoint now);
  /// @return entries for the next digest: none while all replicas have the same pace, or if the
  /// last report was sent less than `Knobs::pace_report_interval` ago.
  std::vector<PaceEntry> report(TimePoint now);
  /// @return number of replicas by class.
  std::map<PaceClass, int> classes() const;

 private:
  /// Mean logarithm of a time, learnt from samples.
  struct Level {
    double value = 0;
    double deviation = 0;  ///< Mean absolute deviation of the samples.
    int samples = 0;
  };
  struct PeerLevel {
    double value = 0;  ///< Logarithm of the step time.
    TimePoint received{};
  };
  struct ReplicaState {
    std::string service;
    Level step;  ///< From this node's runs, logarithm of microseconds.
    std::map<std::uint32_t, PeerLevel> peer_levels;  ///< Reports of other nodes, by node key.
    double stated = 0;          ///< Logarithm of the last factor that the replica reported.
    double stated_usually = 0;  ///< Long-term level of `stated`.
    std::optional<TimePoint> stated_at;  ///< When `stated` was reported.
    double usual = 1;
    bool differs = false;  ///< The usual factor differs significantly from the median.
  };
  struct Service {
    bool streams = false;  ///< Samples of whole runs are ignored.
    bool differ = false;   ///< At least one of its replicas differs.
  };

  bool learnt(const ReplicaState& known) const;
  /// @return the median distance of the peer reports about a replica from `middle`; `middle` itself
  /// counts as one report.
  double consensus_distance(const ReplicaState& known, double middle) const;
  void update_service(const std::vector<ReplicaState*>& replicas, Service& service);
  PaceClass class_of(const ReplicaState& known) const;

  const Knobs& knobs_;
  std::unordered_map<std::uint32_t, ReplicaState> replicas_;
  std::map<std::string, Service> services_;
  TimePoint next_report_{};
};

}  // namespace dockpoint
