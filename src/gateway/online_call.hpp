#pragma once

#include <memory>
#include <set>
#include <string>

#include "dockpoint/admission/request_fingerprint.hpp"
#include "dockpoint/admission/request_quarantine.hpp"
#include "dockpoint/admission/run_suspects.hpp"
#include "dockpoint/membership/stream_origins.hpp"
#include "dockpoint/routing/attempt_policy.hpp"
#include "dockpoint/streaming/answer_end.hpp"
#include "dockpoint/streaming/event_framer.hpp"
#include "gateway/online_proxy.hpp"
#include "gateway/replica_attempt.hpp"

namespace dockpoint {

/// One online request from its arrival to its final answer.
///
/// An answer that is not a stream is buffered until it is complete, so that the request can still
/// be retried after an interruption. A stream is forwarded as it arrives. A resumable stream is
/// forwarded in whole events only, so that another replica of the same software version can resume
/// after the last one. A stream that cannot be resumed is aborted, so that the caller does not take
/// it for complete.
class OnlineCall : public net::CallObserver, public std::enable_shared_from_this<OnlineCall> {
 public:
  OnlineCall(OnlineProxy& proxy, net::ExchangePtr exchange,
             std::shared_ptr<const RoutingConfiguration> configuration, const RouteConfig& route,
             const Tenant* tenant);

  void start();
  void tick(TimePoint now);
  /// Gives the request its final answer, because the process exits.
  void end_before_exit();

  bool on_head(const net::ResponseHead& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(net::ResponseEnd end) override;
  void on_failure(net::CallFailure failure) override;

 private:
  void send(TimePoint now);
  /// Finds out where the stream that the caller resumes began, and resumes it.
  void find_origin(TimePoint now);
  void resume_stream(const OriginVerdict& verdict);
  /// Records where the stream began, so that any node can resume it.
  void record_origin();
  /// @return the key of the stream by the caller's first attempt; by its content if the caller does
  /// not name that attempt.
  StreamKey resumed_key();
  std::string_view tenant_name() const;
  /// Logs and counts an answer whose end does not prove that it is whole.
  void log_answer_end(const EndedAnswer& answer, AnswerEnd verdict) const;
  /// Passes the answer on once its replica has proved to run still.
  void verify_end();
  /// @param process state of the process whose answer ended at `ended_at`.
  void handle_checked_end(ProcessState process, TimePoint ended_at);
  /// Passes the answer on, or the rest of it. @param ended_at when it ended.
  void accept_answer(TimePoint ended_at);
  /// Proceeds after an attempt that was sent and whose answer is not whole.
  void handle_broken_attempt(TimePoint now);
  /// Logs that output begun by another run goes on at `replica`.
  void log_resumption(const ReplicaRecord& replica) const;
  void on_caller_gone();
  void on_caller_drained();
  /// Ends an attempt whose answer exceeds a limit, and proceeds as after a broken connection.
  /// @param limit name of the limit, for logs and metrics.
  void abandon_endless_answer(const char* limit);
  void report_endless_answer(const char* limit);
  bool begin_stream(const net::ResponseHead& head);
  void forward_event(const StreamEvent& event);
  /// @return whether an event of a resumed run may follow the last one that the caller has.
  bool continues_the_stream(const StreamEvent& event) const;
  /// Ends a resumed run that did not begin where the stream stopped, and resumes it elsewhere.
  void abandon_resumed_run();
  /// Records the progress of a stream if the event carries data.
  void note_progress(const StreamEvent& event);
  void complete_buffered();
  void after_failure(AttemptFailure failure, TimePoint now);
  /// Proceeds after an attempt that may have run, at another replica if the route allows it.
  void retry_or_resume(TimePoint now);
  /// Ends the attempt under way, if any, and excludes its replica from the next choice.
  void end_attempt();
  /// Refuses the request if this node may exit before its answer is complete.
  /// @return whether it was refused.
  bool refuse_while_stopping(TimePoint now);
  /// @return whether an attempt that begins at `now` is expected to end before this node exits.
  bool ends_in_time(TimePoint now) const;
  /// Ends a request that is not sent since its answer would come after this node has exited.
  /// @return whether it was ended; a stream that has begun never is, its caller resumes it.
  bool end_instead_of_late_send(TimePoint now);
  /// @return whether the request may have run at a replica.
  bool may_have_run() const;
  /// Refuses the request if it has not been sent yet and would miss its latency objective.
  /// @return whether it was refused.
  bool refuse_for_load(const ReplicaChoice& choice, TimePoint now);
  /// @return the verdict if the request is quarantined, or nothing.
  std::optional<QuarantineVerdict> quarantined(TimePoint now);
  /// Refuses the request if it is quarantined. @return whether it was refused.
  bool refuse_quarantined(TimePoint now);
  /// Ends a request that was quarantined while it was in progress.
  void abort_quarantined(TimePoint now);
  /// Counts the request against its tenant's rate limit, or refuses it.
  /// @return whether it was refused.
  bool refuse_over_rate_limit(TimePoint now);
  void refuse(const char* why);
  /// @param pause value of `Retry-After`.
  void refuse(const char* why, Duration pause);
  void fail(int status, const char* why);
  void break_off(const char* why);
  /// Records the final outcome and removes the request from the proxy.
  void finish(const char* outcome, const char* why);
  void expire(TimePoint now);
  void check_silence(TimePoint now);
  /// Abandons the attempt at an unresponsive or restarted replica, and proceeds as after a broken
  /// connection.
  void fail_over(const char* why, TimePoint now);
  /// @return whether the request may be retried or resumed at another replica while the current one
  /// is silent.
  bool may_fail_over(TimePoint now) const;
  /// @return whether the answer of the attempt shows that the request has not run.
  bool rejected() const { return answer_ && shows_not_run(*answer_); }
  /// @return whether the complete answer states that the replica failed.
  bool replica_reported_failure() const;
  const char* kind() const;
  /// @return the fingerprint of the request's content, equal at all nodes.
  const RequestFingerprint& fingerprint();
  /// @return what may be to blame if the request's replica crashes.
  RunSuspects suspects();
  std::vector<RequestFingerprint> shared_prompt_parts() const;
  /// Clears the request and the parts of its prompt of earlier crashes.
  void note_good_run();
  /// Records the time to first byte and the error of the expected wait.
  void note_first_byte();
  /// @return whether the time to first byte exceeded the route's objective.
  bool late() const { return route_.target > Duration{} && first_byte_after_ > route_.target; }

  OnlineProxy& proxy_;
  GatewayContext& context_;
  net::ExchangePtr exchange_;
  std::shared_ptr<const RoutingConfiguration> configuration_;
  const RouteConfig& route_;
  const Tenant* tenant_;  ///< Owned by `configuration_`; null if the request has none.
  bool counted_ = false;  ///< Whether it was counted against the tenant's rate limit.
  RequestInfo info_;
  std::optional<RequestFingerprint> fingerprint_;  ///< Computed on first use.
  std::string service_;
  TimePoint deadline_{};
  AttemptHistory history_;
  std::set<std::string> excluded_;

  ReplicaAttempt attempt_;
  TimePoint sent_at_{};
  std::optional<AnswerKind> answer_;  ///< Of the attempt, once its head has arrived.
  bool backpressured_ = false;     ///< Slowed down by the caller: no sample of the replica's pace.
  bool streaming_ = false;         ///< The current answer is forwarded as a stream.
  bool silence_reported_ = false;  ///< The silence of this attempt was reported to the directory.
  net::ResponseHead head_;
  BufferedAnswer body_;
  std::size_t answer_bytes_ = 0;         ///< Of the current answer's body.
  std::size_t bytes_without_event_ = 0;  ///< Of a stream, since its last event.
  EventFramer framer_;
  std::optional<std::uint64_t> last_event_;  ///< Id of the last event that the caller has.
  bool awaits_resumed_event_ = false;        ///< No event of the resumed run has continued it yet.
  bool out_of_sequence_ = false;             ///< The resumed run began elsewhere.
  std::string attempt_software_;             ///< Software version of the last chosen replica.
  StreamOrigin origin_;                      ///< Known once there is a `last_event_`.
  OriginSource origin_source_ = OriginSource::kOwnRecord;
  Duration origin_age_{};
  bool origin_recorded_ = false;
  TimePoint last_progress_{};
  int sends_ = 0;
  int load_at_choice_ = 0;       ///< Of the last chosen replica, without this request.
  int slots_at_choice_ = 0;      ///< Of the last chosen replica.
  bool own_slot_ = false;        ///< Sent to one of this node's own slots.
  Duration expected_wait_{};     ///< For a slot at the last chosen replica.
  Duration first_byte_after_{};  ///< Since arrival; zero before the first byte.
  bool finished_ = false;
};

}  // namespace dockpoint
