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
    : node_(std::move(node)),
      zone_(std::move(zone)),
      log_fallback_delay_(bound / 4 + std::chrono::duration_cast<Duration>(
                                          bound / 4 * fraction_of(hash64(node_)))) {}

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

bool RecordSources::may_read_log(TimePoint now) const {
  return sources_.empty() || now - waiting_since_ >= log_fallback_delay_ * (1 << log_failures_);
}

void RecordSources::succeeded(TimePoint now) {
  waiting_since_ = now;
  log_failures_ = 0;
}

void RecordSources::log_failed(TimePoint now) {
  constexpr int kMaximumDoublings = 4;
  waiting_since_ = now;
  log_failures_ = std::min(log_failures_ + 1, kMaximumDoublings);
}

void RecordSources::failed(const std::string& address, bool refused, TimePoint now) {
  excluded_until_[address] = now + (refused ? kRefusalRetryDelay : kExclusionTime);
}

}  // namespace dockpoint
