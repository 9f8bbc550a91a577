#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/membership/member.hpp"

/// From where a node of a large fleet reads the fleet's records: the log, or another node.
///
/// Load pattern: every node follows the same topics, and all load them at once after a restart of
/// all. Read by each from the log that is nodes times records. Here the nodes of a zone stand in an
/// order that all compute alike, by a hash of their names. The first two read from the log; some
/// more, one for each `kFanOut` nodes, read everything from those and pass it on; the others each
/// read their part from one of these, their own part of the order by rendezvous hashing. So the log
/// is read twice a zone at any size, bytes cross zones only from the log, and a node answers some
/// dozens of others.
///
/// A source that does not answer is left out for a while, one that refuses, since it is behind
/// itself, for a moment, and the next one is asked. Only when none has answered for a good part of
/// the bound on the age of what a node knows does it read from the log itself, each node after
/// another time, and less and less often while the log fails too: hundreds that turned to the log
/// when their sources are slow would hold up those very sources. Without it the log was held up for
/// more than 8 s by 986 nodes that each asked for the same 400 KB again and again.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordSources {
 public:
  /// Nodes of a zone that read from the log: one may be dead.
  static constexpr std::size_t kReaders = 2;
  /// Nodes that read from one that passes records on. Its answers after a restart of all, 32 times
  /// 200 KB, take 1.7 s of the slowest link, 30 Mbit/s.
  static constexpr std::size_t kFanOut = 32;
  /// A source that gave no answer is left out for this long: about the time until the membership
  /// protocol knows that it is dead.
  static constexpr Duration kExclusionTime = std::chrono::seconds(5);
  /// A source that refused is asked again after this time.
  static constexpr Duration kRefusalRetryDelay = std::chrono::milliseconds(200);

  /// @param node,zone of this node.
  /// @param bound on the age of what the node knows.
  RecordSources(std::string node, std::string zone, Duration bound);

  /// Takes the nodes that are alive; this node may be among them.
  void update(const std::vector<const Member*>& alive);

  /// @return control address of the node to read from, if there is one.
  std::optional<std::string> next(TimePoint now);
  /// @return whether this node has no sources: it reads from the log.
  bool has_no_sources() const { return sources_.empty(); }
  /// @return whether the log may be read instead.
  bool may_read_log(TimePoint now) const;
  /// A source gave no answer of use. @param refused whether it said so.
  void failed(const std::string& address, bool refused, TimePoint now);
  /// Records came, from a source or the log.
  void succeeded(TimePoint now);
  /// The log refused, or gave no answer.
  void log_failed(TimePoint now);

  /// @return whether this node keeps all records, since others read from it.
  bool passes_on() const { return passes_on_; }

 private:
  const std::string node_;
  const std::string zone_;
  std::vector<std::string> sources_;   ///< In the order in which they are asked.
  const Duration log_fallback_delay_;  ///< Without an answer, until the log is read.
  bool passes_on_ = true;
  TimePoint waiting_since_{};                        ///< The last success, or failure of the log.
  int log_failures_ = 0;                             ///< In a row.
  std::map<std::string, TimePoint> excluded_until_;  ///< Until when.
};

}  // namespace dockpoint
