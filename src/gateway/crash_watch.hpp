#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/good_run_memory.hpp"
#include "dockpoint/admission/part_trials.hpp"
#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/admission/run_suspects.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/membership/crash_report_spread.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "gateway/process_check.hpp"
#include "gateway/quarantine_log.hpp"

namespace dockpoint {

/// Detects online requests and prompt parts that crash replicas, and quarantines them. Batch items
/// are never held; see request_quarantine.hpp.
///
/// A broken connection does not prove a crash: the link may have been reset, or this node may have
/// been paused. The replica's process is therefore checked, and a crash is counted against the
/// requests that ran there only if it has ended. Replicas that had announced a drain are not
/// counted.
///
/// Single-threaded; borrows the context.
class CrashWatch {
 public:
  /// Sends an encoded report to another node's datagram address.
  using Send = std::function<void(const std::string& address, const std::string& bytes)>;

  /// @return the live members.
  using Members = std::function<const std::vector<const Member*>&()>;

  CrashWatch(GatewayContext& context, PartitionedLog& log, const std::string& topic,
             std::uint64_t seed, Members members, Send send);
  ~CrashWatch();

  /// Records that the connection to a replica broke during a run.
  /// @param run what may be to blame; nothing for a batch item.
  void run_broken(const std::optional<RunSuspects>& run, const std::string& replica);
  /// Records that a replica process is known to have ended during a run.
  /// @param run as above.
  void replica_ended(const std::optional<RunSuspects>& run, const std::string& replica);
  /// Records that a run with these prompt parts ended well, which clears them.
  void parts_ran_well(const std::vector<RequestFingerprint>& parts);
  /// Records that a run of a request ended well, which clears its content.
  void content_ran_well(const RequestFingerprint& content);
  /// @return whether any request may be quarantined; if not, callers can skip the fingerprint.
  bool may_hold() const { return !quarantine_.empty(); }
  /// @return the verdict if the request is quarantined and must not be sent, or nothing.
  std::optional<QuarantineVerdict> check(const RequestFingerprint& request, TimePoint now) const {
    return quarantine_.check(request, now);
  }
  /// @return the verdict if one of the prompt parts is quarantined, or nothing. Where a trial of
  /// the part is due and this node's to run, the request is the trial: nothing is returned.
  std::optional<QuarantineVerdict> check_parts_or_begin_trial(
      const std::vector<RequestFingerprint>& parts, TimePoint now);
  /// Clears a request on behalf of an operator, so that it may be sent to replicas again.
  /// @return whether anything was recorded about the request.
  bool clear(const RequestFingerprint& request);
  /// @return the evidence and clearances of a request.
  CrashReport known(const RequestFingerprint& request) const { return quarantine_.report(request); }
  /// @return requests that are quarantined or cleared.
  std::vector<RequestFingerprint> decided(TimePoint now) const { return quarantine_.decided(now); }

  /// Merges a report from another node. @param address datagram address of that node.
  void take(const CrashReport& report, const std::string& address, TimePoint now);
  /// Sends quarantined and cleared requests to a node that may have missed them.
  /// @param address datagram address of that node.
  void send_decisions(const std::string& address) { spread_.answer(address); }
  /// Fetches reports that this node may have missed because it just started or was paused.
  void catch_up(TimePoint now);
  /// Sends due reports and writes due records; call several times a second.
  void tick(TimePoint now);

 private:
  /// Broken runs at one replica, kept until a check shows whether its process has ended.
  struct Suspicion {
    ReplicaProcess process;
    TimePoint broken_at{};
    std::vector<std::optional<RunSuspects>> runs;
    int attempts = 0;
  };

  void check_process_of(const std::string& replica);
  void handle_process_state(const std::string& replica, ProcessState state);
  void schedule_check(const std::string& replica);
  /// Counts a crash against a request and the parts of its prompt.
  void count_run(const std::optional<RunSuspects>& run, const std::string& replica,
                 TimePoint ended_at, TimePoint now);
  void count(const CrashEvidence& evidence, const std::string& replica, TimePoint now);
  /// Clears a suspect that ran well at a time, and tells the nodes that have evidence against it.
  void clear_by_run(const RequestFingerprint& suspect, TimePoint ran_well_at, TimePoint now);
  void take_clearance(const RequestClearance& clearance, const std::string& source, TimePoint now);
  /// Merges evidence from another node or from the log.
  void merge(const CrashReport& report, const std::string& source, TimePoint now);
  void log_quarantine(const RequestFingerprint& request, const std::string& source,
                      TimePoint now) const;

  GatewayContext& context_;
  RequestQuarantine quarantine_;
  GoodRunMemory good_runs_;
  PartTrials trials_;
  CrashReportSpread spread_;
  QuarantineLog log_;
  const Members members_;
  const Send send_;
  std::map<std::string, Suspicion> suspicions_;  ///< By replica.
  TimePoint next_cleaning_{};
  const std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
