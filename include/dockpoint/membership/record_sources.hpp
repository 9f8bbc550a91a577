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
/// A source that does not answer is left out for a while, and the next one is asked; after
/// `kMostTries` in a row the node reads from the log itself. A node never depends on its sources
/// for longer than one read that goes unanswered: records have the log's offsets wherever they are
/// read.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordSources {
 public:
  /// Nodes of a zone that read from the log: one may be dead.
  static constexpr std::size_t kReaders = 2;
  /// Nodes that read from one that passes records on. Its answers after a restart of all, 32 times
  /// 200 KB, take 1.7 s of the slowest link, 30 Mbit/s.
  static constexpr std::size_t kFanOut = 32;
  /// Sources that are asked in a row before the log is.
  static constexpr int kMostTries = 2;
  /// A source that failed is left out for this long: about the time until the membership protocol
  /// knows that it is dead.
  static constexpr Duration kLeftOut = std::chrono::seconds(5);

  /// @param node,zone of this node.
  RecordSources(std::string node, std::string zone);

  /// Takes the nodes that are alive; this node may be among them.
  void update(const std::vector<const Member*>& alive);

  /// @return control address of the node to read from; nothing: from the log.
  std::optional<std::string> next(TimePoint now);
  /// A source gave no answer of use.
  void failed(const std::string& address, TimePoint now);
  void succeeded(const std::string& address);

  /// @return whether this node keeps all records, since others read from it.
  bool passes_on() const { return passes_on_; }

 private:
  const std::string node_;
  const std::string zone_;
  std::vector<std::string> sources_;  ///< In the order in which they are asked.
  bool passes_on_ = true;
  int failures_ = 0;                           ///< In a row.
  std::map<std::string, TimePoint> left_out_;  ///< Until when.
};

}  // namespace dockpoint
