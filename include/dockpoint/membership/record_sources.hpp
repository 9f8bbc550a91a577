#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/log/partitioned_log.hpp"
#include "dockpoint/log/relay_budget.hpp"
#include "dockpoint/membership/member.hpp"

/// Selects where a node of a large fleet reads the fleet's records: the log or another node.
///
/// Every node follows the same topics, and after a restart of the whole fleet all nodes load them
/// at the same time. If each read from the log, the load on the log would be the number of nodes
/// times that of records. Instead, the nodes of a zone are ordered by a hash of their names, which
/// all nodes compute in the same way. The first two read from the log; some more, one for each
/// `kFanOut` nodes, read all records from those and relay them; every other node reads the records
/// it needs from one of these relays, in its own order by rendezvous hashing. So the log is read
/// twice per zone at any fleet size, only reads of the log cross zones, and a node serves some
/// dozens of others.
///
/// A source that does not answer is excluded for some seconds, one that refuses because it is
/// behind itself for a shorter time, and the next one is tried. When a node turns to the log
/// depends on the age of its view, see log/relay_budget.hpp. A relay whose sources all failed does
/// so at once, so that a zone does not depend on its two readers; there are few relays. All other
/// nodes do so only at an age that differs from node to node: hundreds of nodes that turned to the
/// log while their sources are slow would slow down these sources further. Each partition has its
/// own age, and its own pause after the log has failed: an answer for one topic says nothing about
/// another.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordSources {
 public:
  /// Nodes per zone that read from the log: two, since one may be dead.
  static constexpr std::size_t kReaders = 2;
  /// Readers per relaying node. After a restart of the whole fleet its answers, 32 times 200 KB,
  /// take 1.7 s on the slowest link, 30 Mbit/s.
  static constexpr std::size_t kFanOut = 32;
  /// How long a source that did not answer is excluded: about the time until the membership
  /// protocol declares it dead.
  static constexpr Duration kExclusionTime = std::chrono::seconds(5);
  /// How long a source that refused is excluded.
  static constexpr Duration kRefusalRetryDelay = std::chrono::milliseconds(200);

  /// Where a read goes next.
  struct Step {
    enum class Target {
      kSource,  ///< To `source`.
      kLog,     ///< To the log.
      kPause,   ///< Nowhere before `until`.
    };
    Target target = Target::kPause;
    std::string source;  ///< Control address.
    Duration wait{};     ///< Longest wait for records if there are none.
    Duration limit{};    ///< Timeout beyond the wait.
    TimePoint until{};
  };

  /// @param node,zone name and zone of this node.
  /// @param bound maximum permitted age of the node's fleet state.
  RecordSources(std::string node, std::string zone, Duration bound);

  /// Recomputes the sources.
  /// @param alive the live nodes, possibly with this one.
  void update(const std::vector<const Member*>& alive);

  /// @return control address of the node to read from, if a source is available.
  std::optional<std::string> next(TimePoint now);
  /// @return whether this node has no sources and thus always reads from the log.
  bool has_no_sources() const { return sources_.empty(); }
  /// @param age of the node's view of the partition.
  /// @return the next step of a read, of a node that has sources.
  Step next_step(const TopicPartition& partition, Duration age, TimePoint now);
  /// Excludes a source for a while, after a failed read.
  /// @param refused whether the source refused, rather than giving no usable answer.
  void failed(const std::string& address, bool refused, TimePoint now);
  /// Notes that the nodes of the fleet begin to read from each other, which hold no records for
  /// others yet. A node that no other node reads from does not turn to the log before `until`, or
  /// until a source has answered: all of them would load all records at once, and the log could not
  /// serve the readers any more.
  void begin(TimePoint until) { settled_at_ = until; }
  /// Reports that a source answered.
  void source_answered() { settled_at_ = {}; }
  /// Reports that the log answered a read.
  void log_answered(const TopicPartition& partition) { log_failures_.erase(partition); }
  /// Reports that the log refused a read or did not answer.
  void log_failed(const TopicPartition& partition, TimePoint now);
  const RelayBudget& budget() const { return budget_; }
  /// @return whether no pause after a failure of the log is under way.
  bool may_read_log(const TopicPartition& partition, TimePoint now) const {
    return now >= log_retry_at(partition);
  }
  /// @return age of its view from which on this node reads from the log.
  Duration log_age() const;

  /// @return whether this node must hold all records because other nodes read from it.
  bool passes_on() const { return passes_on_; }

 private:
  struct LogFailures {
    int count = 0;  ///< Consecutive.
    TimePoint retry_at{};
  };

  /// @return from when on this node may read from the log, whatever the age of its view.
  TimePoint log_retry_at(const TopicPartition& partition) const;
  TimePoint source_available_at(TimePoint now) const;

  const std::string node_;
  const std::string zone_;
  std::vector<std::string> sources_;  ///< Control addresses in order of preference.
  const RelayBudget budget_;
  bool passes_on_ = true;
  TimePoint settled_at_{};  ///< Until then sources may have no records yet.
  std::map<TopicPartition, LogFailures> log_failures_;
  std::map<std::string, TimePoint> excluded_until_;  ///< End of the exclusion, by source.
};

}  // namespace dockpoint
