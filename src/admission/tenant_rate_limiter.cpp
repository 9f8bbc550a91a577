#include "dockpoint/admission/tenant_rate_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Decay time of the counts from which a node's share of a tenant's requests is computed.
constexpr Duration kShareDecayTime = std::chrono::seconds(2);

/// Weight of the even share `1 / heard` in that computation, in requests.
constexpr double kEvenShareWeight = 2;

/// Fraction of the window's tolerance that enlarges the burst, so that small differences between
/// the nodes' buckets cause no refusals below the limit. The rest is left for overspending.
constexpr double kBurstFraction = 0.2;

/// Fraction of the tolerance that all nodes together may spend beyond the tokens before they have
/// heard each other's reports. Without it requests are refused while tokens remain unused.
constexpr double kOverspendFraction = 0.4;

/// Fraction of the tolerance that enlarges the bucket of a node that is cut off.
constexpr double kCutOffFraction = 0.3;

/// Fraction of the tolerance that all nodes together receive after a restart of the whole fleet. It
/// keeps the window within its bound, whatever was spent before the restart.
constexpr double kStartFraction = 0.3;

/// Fraction of the tolerance by which a debt is forgiven per window length: overspending within the
/// tolerance need not be compensated by later refusals.
constexpr double kForgivenFraction = 0.3;

/// Nodes that do not know the whole window pay off every debt. While it is within
/// `kPacedDebtFraction` of the tolerance, the nodes together admit `kDebtPace` of the limit's rate;
/// the rest pays off the debt. Without pacing all nodes refuse every request until the debt is
/// paid, and then all admit simultaneously.
constexpr double kPacedDebtFraction = 0.5;
constexpr double kDebtPace = 0.9;

/// Maximum credit, in requests, that a node accumulates at that pace.
constexpr double kMaxDebtCredit = 1.5;

/// Maximum credit, in requests, of a node that knows the whole window. Arrivals are random, so a
/// node must be able to save more than one request.
constexpr double kMaxPaceCredit = 5;

/// Time over which tokens that reappear in an empty bucket are shared out, and a debt is paid off.
constexpr Duration kSurplusTime = std::chrono::milliseconds(400);

/// Time over which the part of a debt that need not be paid off is forgiven.
constexpr Duration kForgivingTime = std::chrono::milliseconds(200);

/// A bucket that ran empty counts as empty until this fraction of its capacity is back.
constexpr double kRefilledFraction = 0.2;

/// Debts are forgiven up to this fraction of the requests allowed in a window; the rest is for
/// requests not yet reported.
constexpr double kForgivenWindowFraction = 0.85;

/// Fraction of the tolerance up to which a window may be filled while the bucket refills.
constexpr double kWindowRoomFraction = 0.1;

/// A change of the heard part of the fleet by more than this makes the window unknown.
constexpr double kMaxLimitFractionChange = 0.1;

/// Minimum number of requests that a node may admit before reporting them, from a bucket that is
/// more than half full and from any other.
constexpr double kMinAllowanceFromFull = 3;
constexpr double kMinAllowance = 1;

/// Rounds fractional shares: a request is admitted if at least half of it is within the share.
constexpr double kRounding = 0.5;

/// How long the last reported total of a peer is kept. A report after that is charged by its
/// `TenantSpend::recent`.
constexpr Duration kReportedSpendRetention = std::chrono::seconds(5);

/// Idle time after which an account is dropped. Exceeds `kReportedSpendRetention`, because a new
/// account counts from zero and the other nodes must have dropped the old total by then.
constexpr Duration kIdleAccountRetention = std::chrono::seconds(12);

/// For this long after its start a node uses the fleet size that its peers report; by then it has
/// heard them all itself.
constexpr Duration kReportedNodesTime = std::chrono::seconds(5);

/// Refusals at a node that hears a smaller fraction of the fleet are attributed to being cut off.
constexpr double kCutOffThreshold = 0.9;

/// For this long after a start or resume, refusals are attributed to the start.
constexpr Duration kStartRefusalTime = std::chrono::seconds(3);

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

double seconds_of(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::uint32_t tenant_key(std::string_view name) {
  return static_cast<std::uint32_t>(hash64(name));
}

const char* to_string(RateRefusal refusal) {
  switch (refusal) {
    case RateRefusal::kNone:
      return "none";
    case RateRefusal::kOverLimit:
      return "over_limit";
    case RateRefusal::kNodeShare:
      return "node_share";
    case RateRefusal::kCutOff:
      return "cut_off";
    case RateRefusal::kStarting:
      return "starting";
  }
  return "unknown";
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
  // A limit that is removed and added again is counted from zero on all nodes.
  for (auto& [node, peer] : peers_) {
    std::erase_if(peer.reported, [&](const auto& entry) { return !limits_.contains(entry.first); });
  }
}

double TenantRateLimiter::limit_fraction() const {
  return static_cast<double>(heard_) / static_cast<double>(known_);
}

double TenantRateLimiter::capacity(const RateLimit& limit) const {
  // An isolated node shares its bucket with no other and so cannot overspend; that fraction of the
  // tolerance enlarges its bucket instead.
  const bool cut_off = heard_ == 1 && known_ > 1;
  const double tolerance_fraction = kBurstFraction + (cut_off ? kCutOffFraction : 0);
  const double widened = tolerance_fraction * tolerance(limit);
  return std::max(1.0, (limit.burst + widened) * limit_fraction());
}

double TenantRateLimiter::allowed_in_window(const RateLimit& limit) const {
  return limit.per_second * seconds_of(window_.length) + limit.burst;
}

double TenantRateLimiter::tolerance(const RateLimit& limit) const {
  return window_.overage * allowed_in_window(limit) + window_.slack;
}

TenantRateLimiter::Account& TenantRateLimiter::account_of(std::uint32_t tenant,
                                                          const RateLimit& limit, TimePoint now) {
  auto entry = accounts_.find(tenant);
  if (entry == accounts_.end()) {
    Account account{.filled_at = buckets_empty_at_,
                    .own = DecayingCount(kShareDecayTime),
                    .of_peers = DecayingCount(kShareDecayTime),
                    .recent = {},
                    .changed_at = now,
                    .window = SlidingWindowCount(window_.length),
                    .first_pace_credit = fraction_of(combine_hash(run_, tenant))};
    entry = accounts_.emplace(tenant, std::move(account)).first;
  }
  fill(entry->second, limit, now);
  return entry->second;
}

void TenantRateLimiter::fill(Account& account, const RateLimit& limit, TimePoint now) const {
  count_reported(account, now);
  const double time = seconds_of(now - account.filled_at);
  const double gained = limit.per_second * limit_fraction() * time;
  if (account.tokens < 0) {
    const double forgiven_per_second =
        kForgivenFraction * tolerance(limit) * limit_fraction() / seconds_of(window_.length);
    account.tokens = std::min(0.0, account.tokens + forgiven_per_second * time);
  }
  // The more nodes are heard after a start or a partition, the more of the fleet's start tokens are
  // shared. A granted fraction becomes available again only as the window passes.
  if (account.start_fraction_granted > limit_fraction()) {
    account.start_fraction_granted = std::max(
        limit_fraction(), account.start_fraction_granted - time / seconds_of(window_.length));
  }
  const double granted = std::max(0.0, limit_fraction() - account.start_fraction_granted);
  account.start_fraction_granted += granted;
  account.tokens = std::min(account.tokens + gained + granted * kStartFraction * tolerance(limit),
                            capacity(limit));
  account.filled_at = now;
  update_pace(account, limit, time, now);
}

void TenantRateLimiter::update_pace(Account& account, const RateLimit& limit, double time,
                                    TimePoint now) const {
  if (!window_known(now)) {
    pace_debt(account, limit, time, now);
    return;
  }
  limit_to_window(account, limit, now);
  forgive_debt(account, limit, time, now);
  if (account.tokens < 1) {
    account.paced = true;
  } else if (account.tokens > kRefilledFraction * capacity(limit)) {
    account.paced = false;
    account.pace_credit = account.first_pace_credit;
  }
  if (!account.paced) {
    return;
  }
  const double due = debt_due(account, limit, now);
  const double surplus = std::max(0.0, account.tokens) - due;
  const double pace =
      std::max(0.0, limit.per_second * limit_fraction() + surplus / seconds_of(kSurplusTime));
  const double gained = pace * share_of(account, now) * time;
  account.pace_credit = std::min(kMaxPaceCredit, account.pace_credit + gained);
}

void TenantRateLimiter::pace_debt(Account& account, const RateLimit& limit, double time,
                                  TimePoint now) const {
  const double largest = kPacedDebtFraction * tolerance(limit) * limit_fraction();
  const bool in_debt = account.tokens < 0 && account.tokens > -largest;
  const double pace = kDebtPace * limit.per_second * limit_fraction() * share_of(account, now);
  account.paced = false;
  account.pace_credit = in_debt ? std::min(kMaxDebtCredit, account.pace_credit + pace * time)
                                : account.first_pace_credit;
}

double TenantRateLimiter::debt_due(Account& account, const RateLimit& limit, TimePoint now) const {
  const double fraction = limit_fraction();
  const double bound =
      kForgivenWindowFraction * (allowed_in_window(limit) + tolerance(limit)) * fraction;
  const double unreported = limit.per_second * fraction * seconds_of(knobs_.rate_report_delay);
  const double admitted = account.window.value(now);
  const double excess =
      std::max(admitted + unreported - bound, admitted - allowed_in_window(limit) * fraction);
  return std::clamp(excess, 0.0, std::max(0.0, -account.tokens));
}

void TenantRateLimiter::forgive_debt(Account& account, const RateLimit& limit, double time,
                                     TimePoint now) const {
  const double forgivable = std::max(0.0, -account.tokens) - debt_due(account, limit, now);
  account.tokens += forgivable * std::min(1.0, time / seconds_of(kForgivingTime));
}

void TenantRateLimiter::limit_to_window(Account& account, const RateLimit& limit,
                                        TimePoint now) const {
  const double bound = allowed_in_window(limit) + kWindowRoomFraction * tolerance(limit);
  const double room = bound * limit_fraction() - account.window.value(now);
  account.tokens = std::min(account.tokens, room);
}

bool TenantRateLimiter::window_known(TimePoint now) const {
  return window_known_since_ != TimePoint{} && now - window_known_since_ >= window_.length;
}

double TenantRateLimiter::share_of(const Account& account, TimePoint now) const {
  const double own = account.own.value(now);
  const double all = own + account.of_peers.value(now);
  const double even = 1.0 / static_cast<double>(heard_);
  return (own + kEvenShareWeight * even) / (all + kEvenShareWeight);
}

void TenantRateLimiter::count_reported(Account& account, TimePoint now) const {
  while (account.unreported > 0 &&
         now - account.recent[account.recent.size() - account.unreported] >
             knobs_.rate_report_delay) {
    account.own.add(now);
    --account.unreported;
  }
}

double TenantRateLimiter::allowance(const Account& account, const RateLimit& limit,
                                    TimePoint now) const {
  const double available = account.tokens + static_cast<double>(account.unreported);
  const double even = 1.0 / static_cast<double>(heard_);
  const double share = share_of(account, now);
  // The shares of all nodes add up to one, so the allowed overspend is not exceeded in total.
  const double overspend = kOverspendFraction * tolerance(limit) * limit_fraction();
  return std::max(share, even) * available + share * overspend;
}

bool TenantRateLimiter::exceeds_allowance(const Account& account, const RateLimit& limit,
                                          double allowed) const {
  // Arrivals are random (Poisson): one standard deviation above the share is allowed, which is its
  // square root.
  const double share = std::max(0.0, allowed);
  const double most = share + std::max(kMinAllowance, std::sqrt(share));
  const double least = account.tokens > capacity(limit) / 2 ? kMinAllowanceFromFull : kMinAllowance;
  return static_cast<double>(account.unreported) + kRounding > std::max(least, most);
}

RateVerdict TenantRateLimiter::admit(const Tenant& tenant, TimePoint now) {
  if (!tenant.rate.limited()) {
    return {};
  }
  if (now - last_tick_ > knobs_.round_gap_limit) {
    tick(now);
  }
  Account& account = account_of(tenant_key(tenant.name), tenant.rate, now);
  RateVerdict verdict{true, {}, account.tokens, heard_, known_};
  verdict.share = allowance(account, tenant.rate, now);
  const bool used = exceeds_allowance(account, tenant.rate, verdict.share);
  const bool within_share = account.tokens >= 1 && !used && !account.paced;
  if (!within_share && account.pace_credit < 1) {
    const double missing = std::max(0.0, 1 - account.tokens);
    const Duration refill = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / (tenant.rate.per_second * limit_fraction())));
    verdict.admitted = false;
    verdict.refusal = reason(account, now);
    const Duration report_delay = used ? knobs_.rate_report_delay : Duration{};
    verdict.retry_after =
        std::clamp(std::max(refill, report_delay), kMinRetryAfter, kMaxRetryAfter);
    return verdict;
  }
  account.tokens -= 1;
  account.pace_credit = std::max(0.0, account.pace_credit - 1);
  account.window.add(now);
  ++account.total;
  ++account.unreported;
  account.recent.push_back(now);
  account.changed_at = now;
  return verdict;
}

RateRefusal TenantRateLimiter::reason(const Account& account, TimePoint now) const {
  if (now - buckets_empty_at_ < kStartRefusalTime) {
    return RateRefusal::kStarting;
  }
  if (limit_fraction() < kCutOffThreshold) {
    return RateRefusal::kCutOff;
  }
  return account.tokens < 1 ? RateRefusal::kOverLimit : RateRefusal::kNodeShare;
}

void TenantRateLimiter::refund(const Tenant& tenant, TimePoint now) {
  const auto found = accounts_.find(tenant_key(tenant.name));
  if (found == accounts_.end() || found->second.total == 0) {
    return;
  }
  Account& account = found->second;
  account.tokens = std::min(account.tokens + 1, capacity(tenant.rate));
  account.window.add(now, -1);
  --account.total;
  if (!account.recent.empty()) {
    account.recent.pop_back();
    account.unreported -= std::min<std::size_t>(account.unreported, 1);
  }
  account.changed_at = now;
}

SpendReport TenantRateLimiter::report(TimePoint now) {
  SpendReport report{run_, ++reports_, static_cast<std::uint32_t>(known_), {}};
  for (auto& [tenant, account] : accounts_) {
    count_reported(account, now);
    expire_recent(account, now);
    if (now - account.changed_at <= knobs_.rate_report_time) {
      report.spends.push_back(
          {tenant, account.total, static_cast<std::uint32_t>(account.recent.size())});
    }
  }
  return report;
}

void TenantRateLimiter::expire_recent(Account& account, TimePoint now) const {
  while (!account.recent.empty() && now - account.recent.front() > knobs_.rate_report_time) {
    account.recent.pop_front();
  }
  account.unreported = std::min(account.unreported, account.recent.size());
}

void TenantRateLimiter::merge_report(std::uint32_t node, const SpendReport& report, TimePoint now) {
  record_heartbeat(node, now);
  Peer& peer = peers_[node];
  if (peer.run != report.run) {
    peer.run = report.run;
    peer.reported.clear();
  } else if (static_cast<std::int32_t>(report.number - peer.number) <= 0) {
    return;  // Duplicate, or overtaken by a newer report.
  }
  peer.number = report.number;
  reported_nodes_ = std::max<std::size_t>(reported_nodes_, report.known_nodes);
  for (const TenantSpend& spend : report.spends) {
    const auto limit = limits_.find(spend.tenant);
    if (limit == limits_.end()) {
      continue;
    }
    const auto [reported, added] = peer.reported.try_emplace(spend.tenant);
    const bool first = added || now - reported->second.at > kReportedSpendRetention;
    // Totals wrap around, and shrink after refunds.
    const auto since_reported = static_cast<std::int32_t>(spend.total - reported->second.total);
    const double newly_admitted = first ? static_cast<double>(spend.recent) : since_reported;
    reported->second = {spend.total, now};
    if (newly_admitted != 0) {
      charge(account_of(spend.tenant, limit->second, now), limit->second, newly_admitted, now);
    }
  }
}

void TenantRateLimiter::charge(Account& account, const RateLimit& limit, double requests,
                               TimePoint now) const {
  const double largest_debt = limit.per_second * seconds_of(window_.length) + capacity(limit);
  account.tokens = std::clamp(account.tokens - requests, -largest_debt, capacity(limit));
  account.of_peers.add(now, std::max(0.0, requests));
  account.window.add(now, requests);
}

void TenantRateLimiter::record_heartbeat(std::uint32_t node, TimePoint now) {
  peers_[node].heard = now;
}

void TenantRateLimiter::tick(TimePoint now) {
  if (started_ == TimePoint{}) {
    started_ = now;
    buckets_empty_at_ = now;
  } else if (now - last_tick_ > knobs_.round_gap_limit) {
    reset_after_pause(now);
  }
  last_tick_ = now;
  count_nodes(now);
  for (auto& [node, peer] : peers_) {
    std::erase_if(peer.reported, [&](const auto& entry) {
      return now - entry.second.at > kReportedSpendRetention;
    });
  }
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    Account& account = entry->second;
    const RateLimit& limit = limits_.at(entry->first);
    fill(account, limit, now);
    const bool full = account.tokens >= capacity(limit);
    const bool idle = now - account.changed_at > kIdleAccountRetention;
    entry = full && idle ? accounts_.erase(entry) : std::next(entry);
  }
}

void TenantRateLimiter::reset_after_pause(TimePoint now) {
  buckets_empty_at_ = now;
  window_known_since_ = {};
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
    known_ = std::max({known_, reported_nodes_, knobs_.rate_start_nodes});
  } else if (age < kReportedNodesTime) {
    known_ = std::max(known_, reported_nodes_);
  }
  const double change = std::abs(limit_fraction() - window_limit_fraction_);
  if (window_known_since_ == TimePoint{} || change > kMaxLimitFractionChange) {
    window_known_since_ = now;
    window_limit_fraction_ = limit_fraction();
  }
  if (knobs_.rate_shared == 0) {
    heard_ = 1;
  }
}

}  // namespace dockpoint
