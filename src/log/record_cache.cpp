#include "dockpoint/log/record_cache.hpp"

#include <algorithm>

namespace dockpoint {

void RecordCache::replace(const std::vector<KeyedRecord>& records, LogOffset end) {
  newest_.clear();
  by_offset_.clear();
  removals_.clear();
  removal_offsets_.clear();
  for (const KeyedRecord& record : records) {
    newest_[record.key] = {record.value, record.offset};
    by_offset_[record.offset] = record.key;
  }
  first_ = end;
  end_ = end;
  loaded_ = true;
}

void RecordCache::add(const KeyedRecord& record) {
  const auto known = newest_.find(record.key);
  const auto removed = removals_.find(record.key);
  const bool stale = (known != newest_.end() && known->second.offset >= record.offset) ||
                     (removed != removals_.end() && removed->second >= record.offset);
  if (stale) {
    return;
  }
  end_ = std::max(end_, record.offset + 1);
  if (known != newest_.end()) {
    by_offset_.erase(known->second.offset);
  }
  if (removed != removals_.end()) {
    by_offset_.erase(removed->second);
    removal_offsets_.erase(removed->second);
    removals_.erase(removed);
  }
  by_offset_[record.offset] = record.key;
  if (record.value.empty()) {
    newest_.erase(record.key);
    removals_[record.key] = record.offset;
    removal_offsets_.insert(record.offset);
    forget_old_removals();
  } else {
    newest_[record.key] = {record.value, record.offset};
  }
}

void RecordCache::forget_old_removals() {
  while (removal_offsets_.size() > kMaxRemovals) {
    const auto oldest = by_offset_.find(*removal_offsets_.begin());
    first_ = oldest->first + 1;
    removals_.erase(oldest->second);
    by_offset_.erase(oldest);
    removal_offsets_.erase(removal_offsets_.begin());
  }
}

NewestOutcome RecordCache::newest(const std::string& after_key, const Filter& filter) const {
  NewestOutcome outcome{LogStatus::kOk, {}, false, end_};
  for (auto entry = newest_.upper_bound(after_key); entry != newest_.end(); ++entry) {
    KeyedRecord record{entry->first, entry->second.value, entry->second.offset};
    if (filter && !filter(record)) {
      continue;
    }
    if (outcome.records.size() == kPageRecords) {
      outcome.more = true;
      break;
    }
    outcome.records.push_back(std::move(record));
  }
  return outcome;
}

ReadOutcome RecordCache::read(LogOffset from, const Filter& filter) const {
  ReadOutcome outcome{LogStatus::kOk, {}, end_};
  if (from < first_) {
    outcome.status = LogStatus::kCompacted;
    return outcome;
  }
  outcome.next = end_;
  for (auto entry = by_offset_.lower_bound(from); entry != by_offset_.end(); ++entry) {
    const auto known = newest_.find(entry->second);
    KeyedRecord record{entry->second, known == newest_.end() ? std::string{} : known->second.value,
                       entry->first};
    if (filter && !filter(record)) {
      continue;
    }
    if (outcome.records.size() == kPageRecords) {
      outcome.next = outcome.records.back().offset + 1;
      break;
    }
    outcome.records.push_back(std::move(record));
  }
  return outcome;
}

}  // namespace dockpoint
