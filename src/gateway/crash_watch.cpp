#include "gateway/crash_watch.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "dockpoint/core/hash.hpp"
#include "gateway/gateway_context.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Interval between two removals of expired evidence.
constexpr Duration kCleaningInterval = std::chrono::seconds(1);

/// @return the metric label value of a process's state.
const char* verdict_name(ProcessState state) {
  switch (state) {
    case ProcessState::kRuns:
      return "replica_runs";
    case ProcessState::kEnded:
      return "replica_ended";
    case ProcessState::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace

CrashWatch::CrashWatch(GatewayContext& context, PartitionedLog& log, const std::string& topic,
                       std::uint64_t seed, Members members, Send send)
    : context_(context),
      quarantine_(context.knobs),
      good_runs_(context.knobs.crash_good_runs),
      trials_(context.knobs),
      spread_(context.knobs, quarantine_, context.node, seed),
      log_(context.knobs, log, topic, seed,
           [this](const CrashReport& report) { merge(report, "log", net::steady_now()); }),
      members_(std::move(members)),
      send_(std::move(send)) {}

CrashWatch::~CrashWatch() = default;

void CrashWatch::run_broken(const std::optional<RunSuspects>& run, const std::string& replica) {
  const Replica* known = context_.replicas.find(replica);
  if (known == nullptr || known->record.draining) {
    spdlog::info("quarantine: crash not counted content={} replica={} why=\"{}\"",
                 run ? run->content.hex() : "item", replica,
                 known == nullptr ? "the replica has left" : "the replica drains");
    return;
  }
  const auto [suspicion, first] = suspicions_.try_emplace(replica);
  suspicion->second.runs.push_back(run);
  if (first) {
    suspicion->second.process = process_of(known->record, context_.client);
    suspicion->second.broken_at = net::steady_now();
    check_process_of(replica);
  }
}

void CrashWatch::check_process_of(const std::string& replica) {
  Suspicion& suspicion = suspicions_[replica];
  ++suspicion.attempts;
  check_process(context_, suspicion.process, context_.knobs.crash_probe_observation, life_,
                [this, replica](ProcessState state) { handle_process_state(replica, state); });
}

void CrashWatch::handle_process_state(const std::string& replica, ProcessState state) {
  const auto found = suspicions_.find(replica);
  if (found == suspicions_.end()) {
    return;
  }
  if (state == ProcessState::kUnknown &&
      found->second.attempts < context_.knobs.crash_probe_attempts) {
    schedule_check(replica);
    return;
  }
  const Suspicion suspicion = std::move(found->second);
  suspicions_.erase(found);
  const TimePoint now = net::steady_now();
  const bool ended = state == ProcessState::kEnded;
  context_.metrics.count_broken_runs(verdict_name(state), suspicion.runs.size());
  spdlog::info("quarantine: runs interrupted replica={} ended={} runs={} attempts={} afterMs={}",
               replica, ended, suspicion.runs.size(), suspicion.attempts,
               to_ms(now - suspicion.broken_at));
  if (ended) {
    for (const std::optional<RunSuspects>& run : suspicion.runs) {
      count_run(run, replica, suspicion.broken_at, now);
    }
  }
}

void CrashWatch::schedule_check(const std::string& replica) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop);
  timer->expires_after(context_.knobs.crash_probe_interval);
  timer->async_wait(
      [this, life = std::weak_ptr(life_), replica, timer](const boost::system::error_code& error) {
        if (!error && !life.expired()) {
          check_process_of(replica);
        }
      });
}

void CrashWatch::replica_ended(const std::optional<RunSuspects>& run, const std::string& replica) {
  const TimePoint now = net::steady_now();
  count_run(run, replica, now, now);
}

void CrashWatch::count_run(const std::optional<RunSuspects>& run, const std::string& replica,
                           TimePoint ended_at, TimePoint now) {
  if (!run) {
    quarantine_.note_crash(hash64(replica), ended_at);
    return;
  }
  CrashEvidence evidence{run->content, hash64(replica), ended_at};
  count(evidence, replica, now);
  evidence.prompt_part = true;
  for (const RequestFingerprint& part : run->parts) {
    const std::optional<TimePoint> ran_well = good_runs_.last(part);
    if (ran_well && *ran_well > ended_at) {
      continue;
    }
    evidence.request = part;
    evidence.ran_well_before = ran_well.has_value();
    count(evidence, replica, now);
  }
}

void CrashWatch::parts_ran_well(const std::vector<RequestFingerprint>& parts) {
  const TimePoint now = net::steady_now();
  for (const RequestFingerprint& part : parts) {
    good_runs_.record(part, now);
    trials_.clear(part);
    clear_by_run(part, now, now);
  }
}

void CrashWatch::content_ran_well(const RequestFingerprint& content) {
  const TimePoint now = net::steady_now();
  clear_by_run(content, now, now);
}

void CrashWatch::clear_by_run(const RequestFingerprint& suspect, TimePoint ran_well_at,
                              TimePoint now) {
  if (quarantine_.accused(suspect)) {
    take_clearance({suspect, ran_well_at, true}, "run", now);
  }
}

void CrashWatch::take_clearance(const RequestClearance& clearance, const std::string& source,
                                TimePoint now) {
  const bool had_reached_limit = quarantine_.reached_limit(clearance.request, now);
  if (!quarantine_.take(clearance, now)) {
    return;
  }
  spdlog::info("quarantine: request cleared content={} source={} byRun={} ageMs={}",
               clearance.request.hex(), source, clearance.by_run,
               to_ms(now - clearance.cleared_at));
  if (!clearance.by_run) {
    return;  // Its origin tells all nodes.
  }
  context_.metrics.count_suspect_cleared();
  const bool own = source == "run";
  if (own || had_reached_limit) {
    spread_.send_clearance(clearance.request, had_reached_limit, now);
  }
  if (had_reached_limit) {
    log_.save(clearance.request, quarantine_.report(clearance.request), now);
  }
}

std::optional<QuarantineVerdict> CrashWatch::check_parts_or_begin_trial(
    const std::vector<RequestFingerprint>& parts, TimePoint now) {
  const std::optional<QuarantineVerdict> verdict = quarantine_.check_parts(parts, now);
  const bool trial_due = verdict && verdict->trial_due &&
                         trials_.may_begin(verdict->suspect, now) &&
                         spread_.runs_trials(verdict->suspect, members_());
  if (!trial_due) {
    return verdict;
  }
  trials_.begin(verdict->suspect, now);
  spdlog::info("quarantine: prompt part on trial content={} ends={}", verdict->suspect.hex(),
               verdict->crashes);
  return std::nullopt;
}

void CrashWatch::count(const CrashEvidence& evidence, const std::string& replica, TimePoint now) {
  switch (quarantine_.take(evidence, now)) {
    case EvidenceEffect::kKnown:
      return;
    case EvidenceEffect::kCounted:
      spdlog::info("quarantine: replica crash counted content={} replica={} ends={}",
                   evidence.request.hex(), replica,
                   quarantine_.report(evidence.request).evidence.size());
      if (quarantine_.check(evidence.request, now)) {
        spread_.send_to_all(evidence.request, now);
      } else {
        spread_.send_to_witnesses(evidence.request, now);
      }
      return;
    case EvidenceEffect::kQuarantined:
      log_quarantine(evidence.request, "own", now);
      spread_.send_to_all(evidence.request, now);
      log_.save(evidence.request, quarantine_.report(evidence.request), now);
      return;
  }
}

void CrashWatch::merge(const CrashReport& report, const std::string& source, TimePoint now) {
  for (const RequestClearance& clearance : report.clearances) {
    take_clearance(clearance, source, now);
  }
  for (const CrashEvidence& evidence : report.evidence) {
    const EvidenceEffect effect = quarantine_.take(evidence, now);
    const std::optional<TimePoint> ran_well = good_runs_.last(evidence.request);
    if (effect != EvidenceEffect::kKnown && ran_well && *ran_well > evidence.ended_at) {
      clear_by_run(evidence.request, *ran_well, now);
      continue;
    }
    if (effect != EvidenceEffect::kQuarantined) {
      continue;
    }
    log_quarantine(evidence.request, source, now);
    const auto same_request = [&](const CrashEvidence& other) {
      return other.request == evidence.request;
    };
    const auto included = static_cast<std::size_t>(
        std::count_if(report.evidence.begin(), report.evidence.end(), same_request));
    if (included < context_.knobs.crash_limit) {
      // Possibly no other node holds enough evidence for the quarantine.
      spread_.send_to_all(evidence.request, now);
      log_.save(evidence.request, quarantine_.report(evidence.request), now);
    }
  }
}

void CrashWatch::log_quarantine(const RequestFingerprint& request, const std::string& source,
                                TimePoint now) const {
  const CrashReport report = quarantine_.report(request);
  const auto verdict = quarantine_.check(request, now);
  std::string ends;
  for (const CrashEvidence& evidence : report.evidence) {
    ends += fmt::format("{}{:016x}:{}", ends.empty() ? "" : ",", evidence.replica,
                        to_ms(now - evidence.ended_at));
  }
  const bool part = !report.evidence.empty() && report.evidence.front().prompt_part;
  spdlog::warn("quarantine: {} quarantined content={} source={} ends={} forMs={}",
               part ? "prompt part" : "request", request.hex(), source, ends,
               verdict ? to_ms(verdict->retry_after) : 0);
}

bool CrashWatch::clear(const RequestFingerprint& request) {
  const TimePoint now = net::steady_now();
  const bool known = !quarantine_.report(request).empty();
  quarantine_.take(RequestClearance{request, now}, now);
  spdlog::info("quarantine: request cleared content={} source=operator known={}", request.hex(),
               known);
  spread_.send_to_all(request, now);
  log_.save(request, quarantine_.report(request), now);
  return known;
}

void CrashWatch::take(const CrashReport& report, const std::string& address, TimePoint now) {
  merge(report, address, now);
  spread_.correct(address, good_runs_.clearances_against(report, context_.knobs.crash_limit));
  if (report.reply_requested) {
    spread_.answer(address);
  }
}

void CrashWatch::catch_up(TimePoint now) {
  spread_.catch_up(now);
  log_.refresh();
}

void CrashWatch::tick(TimePoint now) {
  log_.tick(now);
  if (now >= next_cleaning_) {
    next_cleaning_ = now + kCleaningInterval;
    quarantine_.forget_old(now);
    trials_.forget_old(now);
    context_.metrics.set_quarantined_requests(quarantine_.quarantined(now));
  }
  for (const CrashReportSend& send : spread_.next(members_(), now)) {
    const std::string bytes = encode(send.report, now);
    for (const std::string& address : send.addresses) {
      send_(address, bytes);
    }
  }
}

}  // namespace dockpoint
