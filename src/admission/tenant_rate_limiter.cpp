#include "dockpoint/admission/tenant_rate_limiter.hpp"

#include <algorithm>
#include <iterator>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Over which a node's share of a tenant's requests is taken.
constexpr Duration kShareMemory = std::chrono::seconds(2);

/// Requests that weigh as much as an even share does in that.
constexpr double kEvenShareWeight = 2;

/// Part of the tolerance of the window that is granted as a larger burst, so that small differences
/// between the nodes' buckets refuse nobody below the limit. The rest is left for overspending.
constexpr double kTolerancePart = 0.2;

/// A node admits so many times its share of the tokens before the others know.
constexpr double kShareFactor = 1.5;

/// Requests that a node may admit in any case before the others know: from a bucket that is more
/// than half full, and from any other.
constexpr double kLeastFromFull = 3;
constexpr double kLeast = 1;

/// Unreported requests decay by and by: half of one counts as none.
constexpr double kRounding = 0.5;

/// What other nodes told of a tenant is forgotten after this time; a new report says by itself what
/// was admitted lately.
constexpr Duration kToldMemory = std::chrono::seconds(5);

/// An account that nobody has used for so long is dropped. Longer than `kToldMemory`: its count
/// begins anew, and the others must have forgotten the old one.
constexpr Duration kAccountMemory = std::chrono::seconds(12);

/// A node that has just started reckons with as many nodes as others tell it for so long; then it
/// has heard them itself.
constexpr Duration kToldNodesTime = std::chrono::seconds(5);

constexpr Duration kShortestRetry = std::chrono::milliseconds(50);
constexpr Duration kLongestRetry = std::chrono::seconds(10);

double seconds_of(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::uint32_t tenant_key(std::string_view name) {
  return static_cast<std::uint32_t>(hash64(name));
}

TenantRateLimiter::TenantRateLimiter(const Knobs& knobs, const RateWindow& window,
                                     std::uint32_t run)
    : knobs_(knobs), window_(window), run_(run) {}

void TenantRateLimiter::set_limits(const TenantDirectory& tenants) {
  limits_.clear();
  for (const Tenant& tenant : tenants.all()) {
    if (tenant.rate.limited()) {
      limits_[tenant_key(tenant.name)] = tenant.rate;
    }
  }
  std::erase_if(accounts_, [&](const auto& entry) { return !limits_.contains(entry.first); });
}

double TenantRateLimiter::part() const {
  return static_cast<double>(heard_) / static_cast<double>(known_);
}

double TenantRateLimiter::capacity(const RateLimit& limit) const {
  const double in_window = limit.per_second * seconds_of(window_.length) + limit.burst;
  const double tolerance = window_.overage * in_window + window_.slack;
  return std::max(1.0, (limit.burst + kTolerancePart * tolerance) * part());
}

TenantRateLimiter::Account& TenantRateLimiter::account_of(std::uint32_t tenant,
                                                          const RateLimit& limit, TimePoint now) {
  const auto [entry, added] =
      accounts_.try_emplace(tenant, Account{0,
                                            empties_from_,
                                            DecayingCount(knobs_.rate_report_delay),
                                            DecayingCount(kShareMemory),
                                            DecayingCount(kShareMemory),
                                            0,
                                            {},
                                            now});
  fill(entry->second, limit, now);
  return entry->second;
}

void TenantRateLimiter::fill(Account& account, const RateLimit& limit, TimePoint now) const {
  const double gained = limit.per_second * part() * seconds_of(now - account.filled_at);
  account.tokens = std::min(account.tokens + gained, capacity(limit));
  account.filled_at = now;
}

double TenantRateLimiter::allowance(const Account& account, const RateLimit& limit,
                                    TimePoint now) const {
  const double available = account.tokens + account.unreported.value(now);
  const double own = account.own.value(now);
  const double all = own + account.of_peers.value(now);
  const double even = 1.0 / static_cast<double>(heard_);
  const double share = (own + kEvenShareWeight * even) / (all + kEvenShareWeight);
  const double least = available > capacity(limit) / 2 ? kLeastFromFull : kLeast;
  return std::max(least, std::min(1.0, kShareFactor * std::max(share, even)) * available);
}

RateVerdict TenantRateLimiter::admit(const Tenant& tenant, TimePoint now) {
  if (!tenant.rate.limited()) {
    return {};
  }
  if (now - last_tick_ > knobs_.own_pause) {
    tick(now);
  }
  Account& account = account_of(tenant_key(tenant.name), tenant.rate, now);
  RateVerdict verdict{true, {}, account.tokens, heard_, known_};
  const bool share_used =
      account.unreported.value(now) + kRounding > allowance(account, tenant.rate, now);
  if (account.tokens < 1 || share_used) {
    const double missing = std::max(0.0, 1 - account.tokens);
    const Duration refill = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / (tenant.rate.per_second * part())));
    verdict.admitted = false;
    const Duration news = share_used ? knobs_.rate_report_delay : Duration{};
    verdict.retry_after = std::clamp(std::max(refill, news), kShortestRetry, kLongestRetry);
    return verdict;
  }
  account.tokens -= 1;
  account.unreported.add(now);
  account.own.add(now);
  ++account.total;
  account.recent.push_back(now);
  account.changed_at = now;
  return verdict;
}

void TenantRateLimiter::give_back(const Tenant& tenant, TimePoint now) {
  const auto found = accounts_.find(tenant_key(tenant.name));
  if (found == accounts_.end() || found->second.total == 0) {
    return;
  }
  Account& account = found->second;
  account.tokens = std::min(account.tokens + 1, capacity(tenant.rate));
  --account.total;
  if (!account.recent.empty()) {
    account.recent.pop_back();
  }
  account.changed_at = now;
}

SpendReport TenantRateLimiter::report(TimePoint now) {
  SpendReport report{run_, ++reports_, static_cast<std::uint32_t>(known_), {}};
  for (auto& [tenant, account] : accounts_) {
    forget_recent(account, now);
    if (now - account.changed_at <= knobs_.rate_report_time) {
      report.spends.push_back(
          {tenant, account.total, static_cast<std::uint32_t>(account.recent.size())});
    }
  }
  return report;
}

void TenantRateLimiter::forget_recent(Account& account, TimePoint now) const {
  while (!account.recent.empty() && now - account.recent.front() > knobs_.rate_report_time) {
    account.recent.pop_front();
  }
}

void TenantRateLimiter::take(std::uint32_t node, const SpendReport& report, TimePoint now) {
  renew(node, now);
  Peer& peer = peers_[node];
  if (peer.run != report.run) {
    peer.run = report.run;
    peer.told.clear();
  } else if (static_cast<std::int32_t>(report.number - peer.number) <= 0) {
    return;  // It came by another way before, or a later one has.
  }
  peer.number = report.number;
  told_nodes_ = std::max<std::size_t>(told_nodes_, report.known_nodes);
  for (const TenantSpend& spend : report.spends) {
    const auto limit = limits_.find(spend.tenant);
    if (limit == limits_.end()) {
      continue;
    }
    const auto [told, added] = peer.told.try_emplace(spend.tenant);
    const bool first = added || now - told->second.at > kToldMemory;
    // Totals wrap around, and shrink when requests are given back.
    const auto since_told = static_cast<std::int32_t>(spend.total - told->second.total);
    const double news = first ? static_cast<double>(spend.recent) : since_told;
    told->second = {spend.total, now};
    if (news != 0) {
      charge(account_of(spend.tenant, limit->second, now), limit->second, news, now);
    }
  }
}

void TenantRateLimiter::charge(Account& account, const RateLimit& limit, double requests,
                               TimePoint now) const {
  const double largest_debt = limit.per_second * seconds_of(window_.length) + capacity(limit);
  account.tokens = std::clamp(account.tokens - requests, -largest_debt, capacity(limit));
  account.of_peers.add(now, std::max(0.0, requests));
}

void TenantRateLimiter::renew(std::uint32_t node, TimePoint now) {
  peers_[node].heard = now;
}

void TenantRateLimiter::tick(TimePoint now) {
  if (started_ == TimePoint{}) {
    started_ = now;
    empties_from_ = now;
  } else if (now - last_tick_ > knobs_.own_pause) {
    forget_pause(now);
  }
  last_tick_ = now;
  count_nodes(now);
  for (auto& [node, peer] : peers_) {
    std::erase_if(peer.told,
                  [&](const auto& entry) { return now - entry.second.at > kToldMemory; });
  }
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    Account& account = entry->second;
    const RateLimit& limit = limits_.at(entry->first);
    fill(account, limit, now);
    const bool full = account.tokens >= capacity(limit);
    const bool idle = now - account.changed_at > kAccountMemory;
    entry = full && idle ? accounts_.erase(entry) : std::next(entry);
  }
}

void TenantRateLimiter::forget_pause(TimePoint now) {
  empties_from_ = now;
  for (auto& [tenant, account] : accounts_) {
    account.tokens = std::min(account.tokens, 0.0);
    account.filled_at = now;
  }
}

void TenantRateLimiter::count_nodes(TimePoint now) {
  const auto heard_within = [&](Duration time) {
    return 1 + static_cast<std::size_t>(std::count_if(
                   peers_.begin(), peers_.end(),
                   [&](const auto& entry) { return now - entry.second.heard <= time; }));
  };
  heard_ = heard_within(knobs_.rate_silence);
  if (heard_ * 2 > peers_.size() + 1) {
    std::erase_if(peers_, [&](const auto& entry) {
      return now - entry.second.heard > knobs_.rate_node_memory;
    });
  }
  known_ = peers_.size() + 1;
  const Duration age = now - started_;
  const bool heard_nobody = others_expected_ && peers_.empty();
  if (age < knobs_.rate_start_time || heard_nobody) {
    known_ = std::max({known_, told_nodes_, knobs_.rate_start_nodes});
  } else if (age < kToldNodesTime) {
    known_ = std::max(known_, told_nodes_);
  }
  if (knobs_.rate_shared == 0) {
    heard_ = 1;
  }
}

}  // namespace dockpoint
