#include "dockpoint/membership/record_sources.hpp"

#include <algorithm>
#include <utility>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Seed of the order, so that it differs from that of the load relays: otherwise the same nodes
/// would have both tasks.
constexpr std::uint64_t kOrderSeed = 0x4ec0;

struct RankedMember {
  std::uint64_t hash = 0;
  const Member* member = nullptr;
  friend bool operator<(const RankedMember& left, const RankedMember& right) {
    return left.hash < right.hash;
  }
};

/// @return how many of a zone's nodes relay records.
std::size_t nodes_passing_on(std::size_t nodes) {
  const bool readers_suffice = nodes <= RecordSources::kReaders * RecordSources::kFanOut;
  const std::size_t more = readers_suffice ? 0 : nodes / RecordSources::kFanOut + 1;
  return RecordSources::kReaders + more;
}

}  // namespace

RecordSources::RecordSources(std::string node, std::string zone, Duration bound)
    : node_(std::move(node)), zone_(std::move(zone)), budget_(bound) {}

void RecordSources::update(const std::vector<const Member*>& alive) {
  std::vector<RankedMember> order;
  for (const Member* member : alive) {
    const bool capable = member->is_capable_of(Capability::kRecords);
    if (capable && member->zone == zone_ && !member->control_address.empty()) {
      order.push_back({hash64(member->id, kOrderSeed), member});
    }
  }
  const std::size_t passing_on = std::min(order.size(), nodes_passing_on(order.size()));
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(passing_on),
                    order.end());
  order.resize(passing_on);
  const auto own = std::find_if(order.begin(), order.end(), [&](const RankedMember& ranked) {
    return ranked.member->id == node_;
  });
  passes_on_ = own != order.end();
  const std::size_t rank = static_cast<std::size_t>(own - order.begin());
  sources_.clear();
  if (rank < kReaders) {
    return;
  }
  if (passes_on_) {
    order.resize(kReaders);
  } else if (order.size() > kReaders) {
    order.erase(order.begin(), order.begin() + kReaders);  // They serve the relays only.
  }
  // Rendezvous hashing spreads the readers over the sources.
  std::sort(order.begin(), order.end(), [&](const RankedMember& left, const RankedMember& right) {
    return hash64(node_, left.hash) > hash64(node_, right.hash);
  });
  for (const RankedMember& ranked : order) {
    sources_.push_back(ranked.member->control_address);
  }
}

std::optional<std::string> RecordSources::next(TimePoint now) {
  std::erase_if(excluded_until_, [&](const auto& entry) { return now >= entry.second; });
  const auto source = std::find_if(sources_.begin(), sources_.end(), [&](const auto& address) {
    return !excluded_until_.contains(address);
  });
  return source == sources_.end() ? std::nullopt : std::optional(*source);
}

Duration RecordSources::log_age() const {
  if (passes_on_) {
    return budget_.relay_log_age();
  }
  const Duration spread = budget_.longest_log_age() - budget_.shortest_log_age();
  return budget_.shortest_log_age() +
         std::chrono::duration_cast<Duration>(spread * fraction_of(hash64(node_)));
}

RecordSources::Step RecordSources::next_step(const TopicPartition& partition, Duration age,
                                             TimePoint now) {
  const TimePoint retry_at = log_retry_at(partition);
  const bool log_due = age >= log_age() && now >= retry_at;
  const std::optional<std::string> source = log_due ? std::nullopt : next(now);
  if (source) {
    // The read ends before the log is due.
    const Duration spare = log_age() - budget_.source_limit() - age;
    const Duration wait = std::clamp(spare, Duration{}, budget_.source_wait());
    return {Step::Target::kSource, *source, wait, budget_.source_limit(), {}};
  }
  if (log_due) {
    return {Step::Target::kLog, {}, {}, budget_.log_limit(), {}};
  }
  if (passes_on_ && now >= retry_at) {
    return {Step::Target::kLog, {}, budget_.log_wait(), budget_.log_limit(), {}};
  }
  const TimePoint log_at =
      passes_on_ ? retry_at : std::max(retry_at, now + std::max(log_age() - age, Duration{}));
  return {Step::Target::kPause, {}, {}, {}, std::min(log_at, source_available_at(now))};
}

TimePoint RecordSources::log_retry_at(const TopicPartition& partition) const {
  const auto failures = log_failures_.find(partition);
  const TimePoint settled_at = passes_on_ ? TimePoint{} : settled_at_;
  return failures == log_failures_.end() ? settled_at
                                         : std::max(settled_at, failures->second.retry_at);
}

TimePoint RecordSources::source_available_at(TimePoint now) const {
  TimePoint earliest = TimePoint::max();
  for (const std::string& source : sources_) {
    const auto excluded = excluded_until_.find(source);
    earliest = std::min(earliest, excluded == excluded_until_.end() ? now : excluded->second);
  }
  return earliest;
}

void RecordSources::log_failed(const TopicPartition& partition, TimePoint now) {
  LogFailures& failures = log_failures_[partition];
  ++failures.count;
  failures.retry_at = now + budget_.log_pause(failures.count);
}

void RecordSources::failed(const std::string& address, bool refused, TimePoint now) {
  excluded_until_[address] = now + (refused ? kRefusalRetryDelay : kExclusionTime);
}

}  // namespace dockpoint
