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

/// @return the metric label value of a probe result.
const char* verdict_name(ProbeResult result) {
  switch (result) {
    case ProbeResult::kListens:
      return "replica_runs";
    case ProbeResult::kEnded:
      return "replica_ended";
    case ProbeResult::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace

CrashWatch::CrashWatch(GatewayContext& context, PartitionedLog& log, const std::string& topic,
                       std::uint64_t seed, Send send)
    : context_(context),
      quarantine_(context.knobs),
      spread_(context.knobs, quarantine_, context.node, seed),
      log_(context.knobs, log, topic, seed,
           [this](const CrashReport& report) { merge(report, "log", net::steady_now()); }),
      send_(std::move(send)) {}

CrashWatch::~CrashWatch() {
  life_->alive = false;
}

void CrashWatch::run_broken(const RequestFingerprint& request, TrafficClass traffic,
                            const std::string& replica) {
  const Replica* known = context_.replicas.find(replica);
  if (known == nullptr || known->record.draining) {
    spdlog::info("quarantine: crash not counted content={} replica={} why=\"{}\"", request.hex(),
                 replica, known == nullptr ? "the replica has left" : "the replica drains");
    return;
  }
  const auto [suspicion, first] = suspicions_.try_emplace(replica);
  suspicion->second.runs.emplace_back(request, traffic);
  if (first) {
    suspicion->second.address = known->record.address;
    suspicion->second.broken_at = net::steady_now();
    probe(replica);
  }
}

void CrashWatch::probe(const std::string& replica) {
  Suspicion& suspicion = suspicions_[replica];
  ++suspicion.attempts;
  const ProbeTimes times{context_.knobs.crash_probe_timeout,
                         context_.knobs.crash_probe_observation};
  ReplicaProbe::start(context_.loop, suspicion.address, times,
                      [this, life = life_, replica](ProbeResult result) {
                        if (life->alive) {
                          handle_probe_result(replica, result);
                        }
                      });
}

void CrashWatch::handle_probe_result(const std::string& replica, ProbeResult result) {
  const auto found = suspicions_.find(replica);
  if (found == suspicions_.end()) {
    return;
  }
  if (result == ProbeResult::kUnknown &&
      found->second.attempts < context_.knobs.crash_probe_attempts) {
    schedule_probe(replica);
    return;
  }
  const Suspicion suspicion = std::move(found->second);
  suspicions_.erase(found);
  const TimePoint now = net::steady_now();
  const bool ended = result == ProbeResult::kEnded;
  context_.metrics.count_broken_runs(verdict_name(result), suspicion.runs.size());
  spdlog::info("quarantine: runs interrupted replica={} ended={} runs={} attempts={} afterMs={}",
               replica, ended, suspicion.runs.size(), suspicion.attempts,
               to_ms(now - suspicion.broken_at));
  if (ended) {
    for (const auto& [request, traffic] : suspicion.runs) {
      const bool batch = traffic == TrafficClass::kBatch;
      count({request, hash64(replica), suspicion.broken_at, batch}, replica, now);
    }
  }
}

void CrashWatch::schedule_probe(const std::string& replica) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop);
  timer->expires_after(context_.knobs.crash_probe_interval);
  timer->async_wait([this, life = life_, replica, timer](const boost::system::error_code& error) {
    if (!error && life->alive) {
      probe(replica);
    }
  });
}

void CrashWatch::replica_ended(const RequestFingerprint& request, TrafficClass traffic,
                               const std::string& replica) {
  const TimePoint now = net::steady_now();
  count({request, hash64(replica), now, traffic == TrafficClass::kBatch}, replica, now);
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
    if (quarantine_.take(clearance, now)) {
      spdlog::info("quarantine: request cleared content={} source={} ageMs={}",
                   clearance.request.hex(), source, to_ms(now - clearance.cleared_at));
    }
  }
  for (const CrashEvidence& evidence : report.evidence) {
    if (quarantine_.take(evidence, now) != EvidenceEffect::kQuarantined) {
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
  spdlog::warn("quarantine: request quarantined content={} source={} ends={} forMs={}",
               request.hex(), source, ends, verdict ? to_ms(verdict->retry_after) : 0);
}

bool CrashWatch::clear(const RequestFingerprint& request) {
  return clear(request, "operator");
}

void CrashWatch::trial_survived(const RequestFingerprint& request) {
  clear(request, "trial");
}

bool CrashWatch::clear(const RequestFingerprint& request, const char* source) {
  const TimePoint now = net::steady_now();
  const bool known = !quarantine_.report(request).empty();
  quarantine_.take(RequestClearance{request, now}, now);
  spdlog::info("quarantine: request cleared content={} source={} known={}", request.hex(), source,
               known);
  spread_.send_to_all(request, now);
  log_.save(request, quarantine_.report(request), now);
  return known;
}

void CrashWatch::take(const CrashReport& report, const std::string& address, TimePoint now) {
  merge(report, address, now);
  if (report.reply_requested) {
    spread_.answer(address);
  }
}

void CrashWatch::catch_up(TimePoint now) {
  spread_.catch_up(now);
  log_.refresh();
}

void CrashWatch::tick(const std::vector<const Member*>& members, TimePoint now) {
  log_.tick(now);
  if (now >= next_cleaning_) {
    next_cleaning_ = now + kCleaningInterval;
    quarantine_.forget_old(now);
    context_.metrics.set_quarantined_requests(quarantine_.quarantined(now));
  }
  for (const CrashReportSend& send : spread_.next(members, now)) {
    const std::string bytes = encode(send.report, now);
    for (const std::string& address : send.addresses) {
      send_(address, bytes);
    }
  }
}

}  // namespace dockpoint
