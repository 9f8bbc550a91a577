#pragma once

#include <cstdint>
#include <map>
#include <string>
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
namespace dockpoint {

/// The usual factor of one replica, as it travels in digests.
struct PaceEntry {
  std::uint32_t replica_key = 0;
  std::uint32_t hundredths = 100;  ///< Of the factor.
  friend bool operator==(const PaceEntry&, const PaceEntry&) = default;
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ReplicaPaces {
 public:
  explicit ReplicaPaces(const Knobs& knobs) : knobs_(knobs) {}

  /// A run of this node at the replica has shown how long a step of it takes.
  void observed(const std::string& service, std::uint32_t replica_key, Duration step,
                TimePoint now);
  /// The replica has stated its factor for this moment in an answer.
  void stated(std::uint32_t replica_key, double factor, TimePoint now);
  /// Another node has told what it has learnt.
  void told(const std::vector<PaceEntry>& entries, TimePoint now);
  /// The replica is gone.
  void forget(std::uint32_t replica_key);

  /// @return the factor that is expected of a run that starts now; 1 if nothing is known.
  double expected(std::uint32_t replica_key, TimePoint now) const;
  /// @return the usual factor; 1 if nothing is known.
  double usual(std::uint32_t replica_key) const;
  /// @return what the other nodes should know now.
  std::vector<PaceEntry> report(TimePoint now);

 private:
  const Knobs& knobs_;
};

}  // namespace dockpoint
