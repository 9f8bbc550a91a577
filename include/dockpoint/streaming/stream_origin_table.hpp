#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/streaming/stream_origin.hpp"

namespace dockpoint {

/// A stream and its origin, as nodes tell each other.
struct StreamOriginRecord {
  StreamKey key;
  StreamOrigin origin;
};

/// An origin that the table knows.
struct KnownOrigin {
  StreamOrigin origin;
  Duration age{};  ///< Since the record was last made or confirmed.
};

/// Origins of the streams that this node served, or of which it is a witness.
///
/// Bounded: the records that were confirmed longest ago are evicted first. Two origins of one
/// stream contradict each other; it then counts as unknown, since either may be wrong. Not
/// thread-safe.
class StreamOriginTable {
 public:
  explicit StreamOriginTable(const Knobs& knobs) : knobs_(knobs) {}

  /// Adds or confirms a record.
  /// @param announced whether the witnesses of the stream have been told.
  void record(const StreamOriginRecord& record, bool announced, TimePoint now);
  /// @return the origin, or nothing if it is unknown or contradictory.
  std::optional<KnownOrigin> find(const StreamKey& key, TimePoint now) const;
  /// @return whether streams of different origins were recorded under the key.
  bool contradictory(const StreamKey& key) const;
  /// Marks records of which no witness has been told as announced.
  /// @param wanted whether the witnesses of a service's streams are told.
  /// @return those records.
  std::vector<StreamOriginRecord> take_unannounced(
      const std::function<bool(const std::string& service)>& wanted);
  void forget_old(TimePoint now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    TimePoint confirmed_at{};
    bool contradictory = false;
    std::list<StreamKey>::iterator order;
  };

  void mark_announced(const StreamKey& key);
  void erase(const StreamKey& key);

  const Knobs& knobs_;
  std::map<StreamKey, Entry> entries_;
  std::list<StreamKey> by_age_;                             ///< Most recently confirmed last.
  std::map<std::string, std::set<StreamKey>> unannounced_;  ///< By service.
};

}  // namespace dockpoint
