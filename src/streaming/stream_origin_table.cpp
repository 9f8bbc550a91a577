#include "dockpoint/streaming/stream_origin_table.hpp"

namespace dockpoint {

void StreamOriginTable::record(const StreamOriginRecord& record, bool announced, TimePoint now) {
  const auto [found, added] = entries_.try_emplace(record.key);
  Entry& entry = found->second;
  if (added) {
    entry.origin = record.origin;
    entry.order = by_age_.insert(by_age_.end(), record.key);
  } else {
    by_age_.splice(by_age_.end(), by_age_, entry.order);
    entry.contradictory = entry.contradictory || entry.origin != record.origin;
  }
  entry.confirmed_at = now;
  if (announced) {
    mark_announced(record.key);
  } else if (added) {
    unannounced_[entry.origin.service].insert(record.key);
  }
  if (entries_.size() > knobs_.stream_origins) {
    erase(by_age_.front());
  }
}

std::optional<KnownOrigin> StreamOriginTable::find(const StreamKey& key, TimePoint now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.contradictory) {
    return std::nullopt;
  }
  return KnownOrigin{found->second.origin, now - found->second.confirmed_at};
}

bool StreamOriginTable::contradictory(const StreamKey& key) const {
  const auto found = entries_.find(key);
  return found != entries_.end() && found->second.contradictory;
}

std::vector<StreamOriginRecord> StreamOriginTable::take_unannounced(
    const std::function<bool(const std::string& service)>& wanted) {
  std::vector<StreamOriginRecord> records;
  for (auto& [service, keys] : unannounced_) {
    if (!wanted(service)) {
      continue;
    }
    for (const StreamKey& key : keys) {
      records.push_back({key, entries_.at(key).origin});
    }
    keys.clear();
  }
  return records;
}

void StreamOriginTable::forget_old(TimePoint now) {
  while (!by_age_.empty() &&
         now - entries_.at(by_age_.front()).confirmed_at > knobs_.stream_origin_lifetime) {
    erase(by_age_.front());
  }
}

void StreamOriginTable::mark_announced(const StreamKey& key) {
  const auto keys = unannounced_.find(entries_.at(key).origin.service);
  if (keys != unannounced_.end()) {
    keys->second.erase(key);
  }
}

void StreamOriginTable::erase(const StreamKey& key) {
  const auto found = entries_.find(key);
  mark_announced(key);
  by_age_.erase(found->second.order);
  entries_.erase(found);
}

}  // namespace dockpoint
