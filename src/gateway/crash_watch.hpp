#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/membership/crash_report_spread.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "gateway/quarantine_log.hpp"
#include "gateway/replica_probe.hpp"

namespace dockpoint {

struct GatewayContext;

/// Finds requests that crash replicas and keeps them from the replicas.
///
/// A run that breaks is no proof: the link may have been reset, or this node may have been paused.
/// So the replica is probed: the end counts against what ran there only if nobody listens at its
/// address any more. A replica that had announced its leave is not counted.
///
/// Single-threaded; borrows the context.
class CrashWatch {
 public:
  /// Sends a report to another node's address for datagrams.
  using Send = std::function<void(const std::string& address, const std::string& bytes)>;

  CrashWatch(GatewayContext& context, PartitionedLog& log, const std::string& topic,
             std::uint64_t seed, Send send);
  ~CrashWatch();

  /// The connection to a replica ended while it ran a request.
  void run_broken(const RequestFingerprint& request, TrafficClass traffic,
                  const std::string& replica);
  /// A replica is known to have ended while it ran a request.
  void replica_ended(const RequestFingerprint& request, TrafficClass traffic,
                     const std::string& replica);
  /// @return whether any request may be quarantined: if not, none needs a fingerprint.
  bool may_hold() const { return !quarantine_.empty(); }
  /// @return why a request must not be sent, or nothing.
  std::optional<QuarantineVerdict> check(const RequestFingerprint& request, TimePoint now) const {
    return quarantine_.check(request, now);
  }
  /// An operator lets a request go to replicas again. @return whether it was known.
  bool clear(const RequestFingerprint& request);
  /// @return what is known of a request.
  CrashReport known(const RequestFingerprint& request) const { return quarantine_.report(request); }
  /// @return requests that are quarantined or cleared.
  std::vector<RequestFingerprint> decided(TimePoint now) const { return quarantine_.decided(now); }

  /// Takes another node's word. @param address of that node, for datagrams.
  void take(const CrashReport& report, const std::string& address, TimePoint now);
  /// Another node may have missed what is decided. @param address of it, for datagrams.
  void send_decisions(const std::string& address) { spread_.answer(address); }
  /// This node has started, or stood still: it may have missed what the others know.
  void catch_up(TimePoint now);
  /// Sends what is due; call several times a second.
  void tick(const std::vector<const Member*>& members, TimePoint now);

 private:
  /// Runs that broke at one replica, until it is known whether it has ended.
  struct Suspicion {
    Address address;
    TimePoint broken_at{};
    std::vector<std::pair<RequestFingerprint, TrafficClass>> runs;
    int attempts = 0;
  };

  void probe(const std::string& replica);
  void handle_probe_result(const std::string& replica, ProbeResult result);
  void schedule_probe(const std::string& replica);
  void count(const CrashEvidence& evidence, const std::string& replica, TimePoint now);
  /// Takes evidence that another node, or the log, has told.
  void merge(const CrashReport& report, const std::string& source, TimePoint now);
  void log_quarantine(const RequestFingerprint& request, const std::string& source,
                      TimePoint now) const;

  GatewayContext& context_;
  RequestQuarantine quarantine_;
  CrashReportSpread spread_;
  QuarantineLog log_;
  const Send send_;
  std::map<std::string, Suspicion> suspicions_;  ///< By replica.
  TimePoint next_cleaning_{};
  const std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
