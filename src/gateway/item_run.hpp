#pragma once

#include <memory>
#include <string>

#include "dockpoint/streaming/event_framer.hpp"
#include "gateway/batch_executor.hpp"
#include "gateway/replica_attempt.hpp"

namespace dockpoint {

/// One run of a batch item at one replica.
class ItemRun : public net::CallObserver, public std::enable_shared_from_this<ItemRun> {
 public:
  ItemRun(BatchExecutor& executor, ItemRef ref, std::string item_id, RequestInfo info, int attempts,
          const DueTime& due);

  void start(const Replica& replica, std::string bytes, double missing_tokens, TimePoint now);
  /// Cancels the run; its output so far is kept.
  void cancel() { attempt_.end(); }
  void tick(TimePoint now);

  const DueTime& due() const { return due_; }
  const std::string& replica() const { return attempt_.replica(); }
  const std::string& service() const { return origin_.service; }
  const ItemRef& ref() const { return ref_; }

  bool on_head(const net::ResponseHead& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(net::ResponseEnd end) override;
  void on_failure(net::CallFailure failure) override;

 private:
  void handle_event(const StreamEvent& event);
  void interrupted(TimePoint now, const char* why);
  /// Takes the answer as whole once its replica has proved to run still.
  void verify_end();
  /// @param process state of the process whose answer ended at `ended_at`.
  void handle_checked_end(ProcessState process, TimePoint ended_at);
  void accept_answer(TimePoint now);
  /// Lists the output as the item's result, unless an event is missing.
  void accept_success(TimePoint now);
  /// Counts the replica's failure, and gives the item up after too many.
  void accept_failure(TimePoint now);
  /// Ends a run whose answer exceeds a limit; the item runs again elsewhere.
  /// @param limit name of the limit, for logs and metrics.
  void end_endless_run(const char* limit, const char* why);
  /// Proceeds after a run that was sent and whose answer is not whole.
  void handle_broken_run(TimePoint now, const char* why);
  /// Reports an interrupted run to the crash watch.
  /// @param replica_ended whether the replica process is known to have ended.
  void report_to_crash_watch(bool replica_ended);
  ItemProgress& progress();

  BatchExecutor& executor_;
  GatewayContext& context_;
  const ItemRef ref_;
  const std::string item_id_;
  const RequestInfo info_;
  const int attempts_;
  const DueTime due_;
  ReplicaAttempt attempt_;
  StreamOrigin origin_;  ///< Of the replica that runs it.
  TimePoint started_at_{};
  TimePoint last_progress_{};                 ///< Start, head or last event of the answer.
  AnswerKind answer_ = AnswerKind::kForeign;  ///< Until the head has arrived.
  int status_ = 0;
  std::size_t answer_bytes_ = 0;         ///< Of the answer's body.
  bool broken_sequence_ = false;         ///< The stream skipped an event id after the checkpoint.
  std::size_t bytes_without_event_ = 0;  ///< Since the last event of the stream.
  EventFramer framer_;
};

}  // namespace dockpoint
