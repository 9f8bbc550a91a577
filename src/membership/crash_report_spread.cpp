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

/// @return the capability that a member needs to understand a report.
Capability required_capability(const CrashReport& report) {
  const bool parts =
      std::any_of(report.evidence.begin(), report.evidence.end(),
                  [](const CrashEvidence& evidence) { return evidence.prompt_part; }) ||
      std::any_of(report.clearances.begin(), report.clearances.end(),
                  [](const RequestClearance& clearance) { return clearance.by_run; });
  return parts ? Capability::kPromptParts : Capability::kCrashReports;
}

}  // namespace

CrashReportSpread::CrashReportSpread(const Knobs& knobs, const RequestQuarantine& quarantine,
                                     std::string node, std::uint64_t seed)
    : knobs_(knobs), quarantine_(quarantine), node_(std::move(node)), random_(seed) {}

void CrashReportSpread::send_to_witnesses(const RequestFingerprint& request, TimePoint now) {
  pending_.push_back({request, Audience::kWitnesses, knobs_.crash_report_rounds, now});
}

void CrashReportSpread::send_to_all(const RequestFingerprint& request, TimePoint now) {
  std::erase_if(pending_, [&](const PendingReport& pending) { return pending.request == request; });
  pending_.push_back({request, Audience::kAll, knobs_.crash_report_rounds, now});
}

void CrashReportSpread::send_clearance(const RequestFingerprint& suspect, bool had_reached_limit,
                                       TimePoint now) {
  std::erase_if(pending_, [&](const PendingReport& pending) { return pending.request == suspect; });
  const Audience audience = had_reached_limit ? Audience::kAllIfWitness : Audience::kWitnesses;
  pending_.push_back({suspect, audience, knobs_.crash_report_rounds, now});
}

void CrashReportSpread::correct(const std::string& address,
                                std::vector<RequestClearance> clearances) {
  if (!clearances.empty()) {
    corrections_[address].clearances = std::move(clearances);
  }
}

bool CrashReportSpread::runs_trials(const RequestFingerprint& suspect,
                                    const std::vector<const Member*>& members) const {
  const auto selected = select_witnesses(suspect.low, members, Capability::kPromptParts, 1);
  return selected.empty() || selected.front()->id == node_;
}

std::vector<CrashReportSend> CrashReportSpread::next(const std::vector<const Member*>& members,
                                                     TimePoint now) {
  std::vector<CrashReportSend> sends;
  add_pending_reports(members, now, sends);
  add_answers(now, sends);
  add_corrections(sends);
  add_gossip(members, now, sends);
  return sends;
}

std::vector<std::string> CrashReportSpread::others(const std::vector<const Member*>& members,
                                                   Capability capability) const {
  std::vector<std::string> addresses;
  for (const Member* member : members) {
    if (member->id != node_ && member->is_capable_of(capability)) {
      addresses.push_back(member->peer_address);
    }
  }
  return addresses;
}

std::vector<const Member*> CrashReportSpread::witnesses(const RequestFingerprint& request,
                                                        const std::vector<const Member*>& members,
                                                        Capability capability) const {
  return select_witnesses(request.low, members, capability, knobs_.crash_witnesses);
}

std::vector<std::string> CrashReportSpread::recipients(
    const PendingReport& pending, const CrashReport& report,
    const std::vector<const Member*>& members) const {
  const Capability capability = required_capability(report);
  if (pending.audience == Audience::kAll) {
    return others(members, capability);
  }
  const std::vector<const Member*> selected = witnesses(pending.request, members, capability);
  const bool is_witness = std::any_of(selected.begin(), selected.end(),
                                      [&](const Member* witness) { return witness->id == node_; });
  const bool all = pending.audience == Audience::kAllIfWitness && is_witness;
  return others(all ? members : selected, capability);
}

void CrashReportSpread::add_pending_reports(const std::vector<const Member*>& members,
                                            TimePoint now, std::vector<CrashReportSend>& sends) {
  std::map<std::vector<std::string>, Batch> batches;
  for (PendingReport& pending : pending_) {
    if (now < pending.next_at) {
      continue;
    }
    --pending.rounds_left;
    pending.next_at = now + knobs_.crash_report_interval;
    CrashReport report = quarantine_.report(pending.request);
    std::vector<std::string> addresses = recipients(pending, report, members);
    std::sort(addresses.begin(), addresses.end());
    Batch& batch = batches[addresses];
    append(batch.report, report);
    if (++batch.requests == knobs_.crash_gossip_requests) {
      sends.push_back({std::move(addresses), std::exchange(batch, {}).report});
    }
  }
  for (auto& [addresses, batch] : batches) {
    if (batch.requests > 0) {
      sends.push_back({addresses, std::move(batch.report)});
    }
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

void CrashReportSpread::add_corrections(std::vector<CrashReportSend>& sends) {
  for (auto& [address, report] : std::exchange(corrections_, {})) {
    sends.push_back({{address}, report});
  }
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
  std::vector<std::string> addresses = others(members, required_capability(report));
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
