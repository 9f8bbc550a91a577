#pragma once

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/membership/member.hpp"

/// Whom a node tells of requests that crash replicas, and when.
///
/// The end of a replica is told to a few witnesses: the members that rendezvous hashing of the
/// request names, so that all nodes tell the same ones. Whoever has all evidence together tells
/// everybody. So an end, of which there are many when replicas crash for other reasons, costs the
/// same in a fleet of any size, and only a verdict costs a message a node.
/// Reports are repeated, since datagrams get lost. Beyond that each node tells random members what
/// is decided, for nodes that were cut off or not running, and a node that has just started, or was
/// paused, asks.
namespace dockpoint {

/// A message and where it goes.
struct CrashReportSend {
  std::vector<std::string> addresses;  ///< For datagrams.
  CrashReport report;
};

/// See the top of this file. Not thread-safe; borrows the quarantine.
class CrashReportSpread {
 public:
  CrashReportSpread(const Knobs& knobs, const RequestQuarantine& quarantine, std::string node,
                    std::uint64_t seed);

  /// This node saw a replica end under a request.
  void send_to_witnesses(const RequestFingerprint& request, TimePoint now);
  /// A request was quarantined here, by evidence that came in several messages, or cleared.
  void send_to_all(const RequestFingerprint& request, TimePoint now);
  /// This node may have missed what the others know.
  void catch_up(TimePoint now) { request_until_ = now + knobs_.crash_catch_up_time; }
  /// Another node asks what is decided, or is heard again after a silence and may have missed it.
  /// @param address of it, for datagrams.
  void answer(const std::string& address) { requesters_.push_back(address); }

  /// @param members that are alive. @return messages that are due.
  std::vector<CrashReportSend> next(const std::vector<const Member*>& members, TimePoint now);

 private:
  /// A report of one request that is sent a few times.
  struct PendingReport {
    RequestFingerprint request;
    bool to_all = false;
    int rounds_left = 0;
    TimePoint next_at{};
  };

  /// @return addresses of other members that know such reports.
  std::vector<std::string> others(const std::vector<const Member*>& members) const;
  std::vector<std::string> witnesses(const RequestFingerprint& request,
                                     const std::vector<const Member*>& members) const;
  void add_pending_reports(const std::vector<const Member*>& members, TimePoint now,
                           std::vector<CrashReportSend>& sends);
  void add_gossip(const std::vector<const Member*>& members, TimePoint now,
                  std::vector<CrashReportSend>& sends);
  void add_answers(TimePoint now, std::vector<CrashReportSend>& sends);
  /// @return a report of decided requests, other ones each time.
  CrashReport next_page(TimePoint now);

  const Knobs& knobs_;
  const RequestQuarantine& quarantine_;
  const std::string node_;
  std::mt19937_64 random_;
  std::deque<PendingReport> pending_;
  std::vector<std::string> requesters_;
  TimePoint request_until_{};
  TimePoint next_gossip_{};
  RequestFingerprint last_gossiped_;  ///< In order of `decided`, by gossip.
};

}  // namespace dockpoint
