#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/log/partitioned_log.hpp"

/// A cached copy of one partition of a compacted topic, from which a node serves reads of other
/// nodes.
///
/// It serves a thundering herd: hundreds of nodes that start at once, each of which needs the same
/// thousands of records. Read from the log by each node they are gigabytes, which the log serves at
/// its own rate, so that the last node is ready long after the first. Instead a few nodes read from
/// the log, and the others read from those nodes, at the log's own offsets: a reader may continue
/// at the log, or at another copy, at any time without missing a record.
///
/// Tombstones are retained up to a limit. A read from before the oldest retained one is answered
/// like one of a compacted offset, and the reader reloads.
namespace dockpoint {

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class RecordCache {
 public:
  /// Selects the records that a reader wants; empty: all of them.
  using Filter = std::function<bool(const KeyedRecord&)>;

  /// Number of tombstones retained: a reader's absence is shorter than a rollout of thousands of
  /// replicas.
  static constexpr std::size_t kMaxRemovals = 4'096;
  /// Page size in records, as at the log: 150 KB of replica records.
  static constexpr std::size_t kPageRecords = 500;

  /// Replaces the content by a load that ends at `end`.
  void replace(const std::vector<KeyedRecord>& records, LogOffset end);
  /// Adds one record, at any offset; ignored if not newer than the known record of its key.
  void add(const KeyedRecord& record);

  bool loaded() const { return loaded_; }
  /// @return the offset up to which records are known.
  LogOffset end() const { return end_; }
  /// @return the number of keys with a value.
  std::size_t size() const { return newest_.size(); }

  /// @return the newest record of each key after `after_key`, one page at a time.
  NewestOutcome newest(const std::string& after_key, const Filter& filter) const;
  /// @return records from an offset in order, including tombstones.
  ReadOutcome read(LogOffset from, const Filter& filter) const;

 private:
  struct Entry {
    std::string value;
    LogOffset offset = 0;
  };

  void forget_old_removals();

  bool loaded_ = false;
  LogOffset first_ = 0;  ///< Tombstones before this offset are unknown.
  LogOffset end_ = 0;
  std::map<std::string, Entry> newest_;
  std::map<LogOffset, std::string> by_offset_;  ///< Keys of `newest_` and `removals_` by offset.
  std::map<std::string, LogOffset> removals_;
  std::set<LogOffset> removal_offsets_;  ///< Offsets in `removals_`, oldest first.
};

}  // namespace dockpoint
