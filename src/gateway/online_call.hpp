#pragma once

#include <memory>
#include <set>
#include <string>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/routing/attempt_policy.hpp"
#include "dockpoint/streaming/event_framer.hpp"
#include "gateway/online_proxy.hpp"
#include "gateway/replica_attempt.hpp"

namespace dockpoint {

/// One online request from its arrival to its final answer.
///
/// An answer that is not a stream is held until it is whole, so that a broken one can still be
/// repeated. A stream is passed on as it comes; if it may be resumed, only in whole events, so that
/// another replica can go on behind the last one. A stream that cannot go on is broken off: the
/// caller must not take it for complete.
class OnlineCall : public net::CallObserver, public std::enable_shared_from_this<OnlineCall> {
 public:
  OnlineCall(OnlineProxy& proxy, net::ExchangePtr exchange,
             std::shared_ptr<const RoutingConfiguration> configuration, const RouteConfig& route,
             const Tenant* tenant);

  void start();
  void tick(TimePoint now);

  bool on_head(const net::ResponseHead& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete() override;
  void on_failure(net::CallFailure failure) override;

 private:
  void send(TimePoint now);
  void on_caller_gone();
  void on_caller_drained();
  bool begin_stream(const net::ResponseHead& head);
  void forward_event(const StreamEvent& event);
  void complete_buffered();
  void after_failure(AttemptFailure failure, TimePoint now);
  /// The attempt is over: nothing of it is in flight any more.
  void end_attempt();
  /// Refuses the request if it has not been sent yet and would be answered late.
  /// @return whether it was refused.
  bool refuse_for_load(const ReplicaChoice& choice, TimePoint now);
  /// @return why the request is kept from the replicas, or nothing.
  std::optional<QuarantineVerdict> quarantined(TimePoint now);
  /// Refuses the request if it crashes replicas. @return whether it was refused.
  bool refuse_quarantined(TimePoint now);
  /// Ends the request, which was quarantined while it was under way.
  void abort_quarantined(TimePoint now);
  /// Counts the request against its tenant's rate limit, or refuses it.
  /// @return whether it was refused.
  bool refuse_over_rate_limit(TimePoint now);
  void refuse(const char* why);
  /// @param pause after which the caller may come back.
  void refuse(const char* why, Duration pause);
  void fail(int status, const char* why);
  void break_off(const char* why);
  /// The request has its final answer.
  void finish(const char* outcome, const char* why);
  void expire(TimePoint now);
  void check_silence(TimePoint now);
  /// Ends the attempt, whose replica will not answer it, and goes on as after a broken connection.
  void fail_over(const char* why, TimePoint now);
  /// @return whether the request may go on at another replica while this one is silent.
  bool may_fail_over() const;
  /// @return whether the whole answer that came is the replica's word that it failed.
  bool replica_reported_failure() const;
  const char* kind() const;
  /// @return what tells that this request is the same as one before, at any node.
  const RequestFingerprint& fingerprint();
  /// Notes that the caller gets the first byte of its answer now.
  void note_first_byte();
  /// @return whether the first byte came later than the route's objective.
  bool late() const { return route_.target > Duration{} && first_byte_after_ > route_.target; }

  OnlineProxy& proxy_;
  GatewayContext& context_;
  net::ExchangePtr exchange_;
  std::shared_ptr<const RoutingConfiguration> configuration_;
  const RouteConfig& route_;
  const Tenant* tenant_;  ///< Of `configuration_`; null: the request belongs to none.
  bool counted_ = false;  ///< Against the tenant's rate limit.
  RequestInfo info_;
  std::optional<RequestFingerprint> fingerprint_;  ///< Once it was needed.
  std::string service_;
  TimePoint deadline_{};
  AttemptHistory history_;
  std::set<std::string> excluded_;

  ReplicaAttempt attempt_;
  TimePoint sent_at_{};
  bool head_seen_ = false;
  bool rejected_ = false;          ///< The replica said that it did not run the request.
  bool backpressured_ = false;     ///< By its caller: the run tells nothing of the replica's pace.
  bool streaming_ = false;         ///< The answer under way is a stream that is passed on.
  bool silence_reported_ = false;  ///< The directory knows that this attempt is silent.
  net::ResponseHead head_;
  std::string body_;
  EventFramer framer_;
  std::optional<std::uint64_t> last_event_;  ///< That the caller has.
  TimePoint last_progress_{};
  int sends_ = 0;
  int load_at_choice_ = 0;       ///< Of the replica chosen last, without this request.
  int slots_at_choice_ = 0;      ///< The same replica's.
  bool own_slot_ = false;        ///< It was sent to a slot of this node's own.
  Duration expected_wait_{};     ///< For a slot at the replica chosen last.
  Duration first_byte_after_{};  ///< From the arrival; zero as long as there is none.
  bool finished_ = false;
};

}  // namespace dockpoint
