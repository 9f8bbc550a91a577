#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/membership/member.hpp"

/// Decides when crash reports of requests are sent, and to which nodes.
///
/// A crash of a replica is reported to a few witnesses: the members that rendezvous hashing of the
/// request selects, so that all nodes report to the same ones. A node that has collected all the
/// evidence sends it to all members. Thus a single crash, of which there are many when replicas
/// fail for other reasons, costs the same in a fleet of any size, and only a quarantine decision
/// costs one message per node. Reports are repeated because datagrams get lost. In addition, each
/// node gossips decided requests to random members, for nodes that were cut off or not running, and
/// a node that has just started or was suspended requests them.
///
/// Reports that are due at the same time go to a node in one message: a crash is evidence against
/// each suspect that ran on the replica, and against the others if one of them was absent, so a
/// node that knew it of some suspects only would release a quarantined one until it knows the rest.
///
/// Good runs: a node on which a run ended well with a suspect tells the witnesses, which have the
/// evidence; if the suspect had reached the limit, they tell all members. So a common prompt part
/// that many nodes clear at once costs a message for each of them, and not the square. A node that
/// missed a clearance would keep its evidence until it expires: a node that is sent outdated
/// evidence answers with the clearance, if the good run was its own.
namespace dockpoint {

/// A crash report and its recipients.
struct CrashReportSend {
  std::vector<std::string> addresses;  ///< Peer addresses, for datagrams.
  CrashReport report;
};

/// See the top of this file. Not thread-safe; borrows the quarantine.
class CrashReportSpread {
 public:
  CrashReportSpread(const Knobs& knobs, const RequestQuarantine& quarantine, std::string node,
                    std::uint64_t seed);

  /// Schedules reports to the witnesses, after this node saw a replica crash under a request.
  void send_to_witnesses(const RequestFingerprint& request, TimePoint now);
  /// Schedules reports to all members, after a request was quarantined here by evidence from
  /// several messages, or cleared.
  void send_to_all(const RequestFingerprint& request, TimePoint now);
  /// Schedules the clearance of a suspect by a good run: to all members if this node is a witness
  /// of a suspect that had reached the limit, otherwise to the witnesses.
  void send_clearance(const RequestFingerprint& suspect, bool had_reached_limit, TimePoint now);
  /// @return whether this node is the one that may try a quarantined suspect: its first witness.
  bool runs_trials(const RequestFingerprint& suspect,
                   const std::vector<const Member*>& members) const;
  /// Requests the decisions of other nodes for a while, since this node may have missed some.
  void catch_up(TimePoint now) { request_until_ = now + knobs_.crash_catch_up_time; }
  /// Queues an answer to a node that requests decisions, or that is reachable again and may have
  /// missed some.
  /// @param address its address for datagrams.
  void answer(const std::string& address) { requesters_.push_back(address); }

  /// Queues clearances for a node that sent evidence from before the suspects ran well here.
  /// @param address its address for datagrams.
  void correct(const std::string& address, std::vector<RequestClearance> clearances);

  /// @param members the live members.
  /// @return the messages that are due.
  std::vector<CrashReportSend> next(const std::vector<const Member*>& members, TimePoint now);

 private:
  enum class Audience { kWitnesses, kAll, kAllIfWitness };

  /// A report on one request that is sent for several rounds.
  struct PendingReport {
    RequestFingerprint request;
    Audience audience = Audience::kWitnesses;
    int rounds_left = 0;
    TimePoint next_at{};
  };
  /// Reports on several requests to the same nodes.
  struct Batch {
    CrashReport report;
    std::size_t requests = 0;
  };

  /// @return addresses of the other members with a capability.
  std::vector<std::string> others(const std::vector<const Member*>& members,
                                  Capability capability) const;
  std::vector<const Member*> witnesses(const RequestFingerprint& request,
                                       const std::vector<const Member*>& members,
                                       Capability capability) const;
  std::vector<std::string> recipients(const PendingReport& pending, const CrashReport& report,
                                      const std::vector<const Member*>& members) const;
  void add_pending_reports(const std::vector<const Member*>& members, TimePoint now,
                           std::vector<CrashReportSend>& sends);
  void add_gossip(const std::vector<const Member*>& members, TimePoint now,
                  std::vector<CrashReportSend>& sends);
  void add_answers(TimePoint now, std::vector<CrashReportSend>& sends);
  void add_corrections(std::vector<CrashReportSend>& sends);
  /// @return a report with the next decided requests, in rotation.
  CrashReport next_page(TimePoint now);

  const Knobs& knobs_;
  const RequestQuarantine& quarantine_;
  const std::string node_;
  std::mt19937_64 random_;
  std::deque<PendingReport> pending_;
  std::vector<std::string> requesters_;
  std::map<std::string, CrashReport> corrections_;  ///< By address.
  TimePoint request_until_{};
  TimePoint next_gossip_{};
  RequestFingerprint last_gossiped_;  ///< Position of the rotation, in the order of `decided`.
};

}  // namespace dockpoint
