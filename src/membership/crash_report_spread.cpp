#include "dockpoint/membership/crash_report_spread.hpp"

#include <algorithm>
#include <utility>

#include "dockpoint/membership/witnesses.hpp"

namespace dockpoint {
namespace {

void append(CrashReport& report, const CrashReport& added) {
  report.evidence.insert(report.evidence.end(), added.evidence.begin(), added.evidence.end());
  report.clearances.insert(report.clearances.end(), added.clearances.begin(),
                           added.clearances.end());
}

}  // namespace

CrashReportSpread::CrashReportSpread(const Knobs& knobs, const RequestQuarantine& quarantine,
                                     std::string node, std::uint64_t seed)
    : knobs_(knobs), quarantine_(quarantine), node_(std::move(node)), random_(seed) {}

void CrashReportSpread::send_to_witnesses(const RequestFingerprint& request, TimePoint now) {
  pending_.push_back({request, false, knobs_.crash_report_rounds, now});
}

void CrashReportSpread::send_to_all(const RequestFingerprint& request, TimePoint now) {
  std::erase_if(pending_, [&](const PendingReport& pending) { return pending.request == request; });
  pending_.push_back({request, true, knobs_.crash_report_rounds, now});
}

std::vector<CrashReportSend> CrashReportSpread::next(const std::vector<const Member*>& members,
                                                     TimePoint now) {
  std::vector<CrashReportSend> sends;
  add_pending_reports(members, now, sends);
  add_answers(now, sends);
  add_gossip(members, now, sends);
  return sends;
}

std::vector<std::string> CrashReportSpread::others(
    const std::vector<const Member*>& members) const {
  std::vector<std::string> addresses;
  for (const Member* member : members) {
    if (member->id != node_ && member->is_capable_of(Capability::kCrashReports)) {
      addresses.push_back(member->peer_address);
    }
  }
  return addresses;
}

std::vector<std::string> CrashReportSpread::witnesses(
    const RequestFingerprint& request, const std::vector<const Member*>& members) const {
  return others(
      select_witnesses(request.low, members, Capability::kCrashReports, knobs_.crash_witnesses));
}

void CrashReportSpread::add_pending_reports(const std::vector<const Member*>& members,
                                            TimePoint now, std::vector<CrashReportSend>& sends) {
  for (PendingReport& pending : pending_) {
    if (now < pending.next_at) {
      continue;
    }
    --pending.rounds_left;
    pending.next_at = now + knobs_.crash_report_interval;
    sends.push_back({pending.to_all ? others(members) : witnesses(pending.request, members),
                     quarantine_.report(pending.request)});
  }
  std::erase_if(pending_, [](const PendingReport& pending) { return pending.rounds_left <= 0; });
}

void CrashReportSpread::add_answers(TimePoint now, std::vector<CrashReportSend>& sends) {
  if (requesters_.empty()) {
    return;
  }
  CrashReport report = next_page(now);
  if (!report.empty()) {
    sends.push_back({requesters_, std::move(report)});
  }
  requesters_.clear();
}

void CrashReportSpread::add_gossip(const std::vector<const Member*>& members, TimePoint now,
                                   std::vector<CrashReportSend>& sends) {
  if (now < next_gossip_) {
    return;
  }
  next_gossip_ = now + knobs_.crash_gossip_interval;
  CrashReport report = next_page(now);
  report.reply_requested = now < request_until_;
  if (report.empty()) {
    return;
  }
  std::vector<std::string> addresses = others(members);
  std::shuffle(addresses.begin(), addresses.end(), random_);
  addresses.resize(std::min(addresses.size(), knobs_.crash_gossip_members));
  sends.push_back({std::move(addresses), std::move(report)});
}

CrashReport CrashReportSpread::next_page(TimePoint now) {
  std::vector<RequestFingerprint> requests = quarantine_.decided(now);
  const auto start = std::upper_bound(requests.begin(), requests.end(), last_gossiped_);
  std::rotate(requests.begin(), start, requests.end());
  requests.resize(std::min(requests.size(), knobs_.crash_gossip_requests));
  CrashReport page;
  for (const RequestFingerprint& request : requests) {
    append(page, quarantine_.report(request));
    last_gossiped_ = request;
  }
  return page;
}

}  // namespace dockpoint
