#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/log/partitioned_log.hpp"

/// A copy of one partition of a compacted topic, from which a node answers the reads of others.
///
/// Load pattern: hundreds of nodes that start at once, each of which needs the same thousands of
/// records. Read from the log by each they are gigabytes, which the log hands out at its own pace,
/// so that the last node is ready long after the first. Here a few nodes read them, and the others
/// read from those, at the log's own offsets: a reader may go on at the log, or at another copy, at
/// any time and misses nothing.
///
/// Keys that were removed are remembered for a bounded number of removals. A read from before the
/// oldest of them is answered like one of forgotten history: the reader loads anew.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordCache {
 public:
  /// Which records a reader wants; all of them if it is empty.
  using Filter = std::function<bool(const KeyedRecord&)>;

  /// Removals that are remembered: a release of thousands of replicas takes longer than a reader is
  /// away.
  static constexpr std::size_t kMostRemovals = 4'096;
  /// Most records of an answer, as at the log: 150 KB of replicas' records.
  static constexpr std::size_t kPageRecords = 500;

  /// Everything anew, as of `end`.
  void replace(const std::vector<KeyedRecord>& records, LogOffset end);
  /// One record, of any offset; one that is older than what is known of its key changes nothing.
  void add(const KeyedRecord& record);

  bool loaded() const { return loaded_; }
  /// @return offset up to which records are known.
  LogOffset end() const { return end_; }
  /// @return keys with a value.
  std::size_t size() const { return newest_.size(); }

  /// @return the newest record of each key behind `after_key`, a page at a time.
  NewestOutcome newest(const std::string& after_key, const Filter& filter) const;
  /// @return records from an offset on in order, removals among them.
  ReadOutcome read(LogOffset from, const Filter& filter) const;

 private:
  struct Entry {
    std::string value;
    LogOffset offset = 0;
  };

  void forget_old_removals();

  bool loaded_ = false;
  LogOffset first_ = 0;  ///< Removals before it are not known.
  LogOffset end_ = 0;
  std::map<std::string, Entry> newest_;
  std::map<LogOffset, std::string> by_offset_;  ///< Of `newest_` and `removals_`.
  std::map<std::string, LogOffset> removals_;
  std::set<LogOffset> removal_offsets_;  ///< Of `removals_`, oldest first.
};

}  // namespace dockpoint
