#include "gateway/item_run.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dockpoint/streaming/answer_end.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/sampling.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Status of a replica that ran the item and failed.
constexpr int kItemFailed = 500;
/// Status of an item that no replica can process.
constexpr int kItemImpossible = 422;

/// Pause before an item is retried, e.g. after a replica had no free slot.
constexpr Duration kRetryPause = std::chrono::milliseconds(150);

/// Time after the deadline sent to the replica at which a run is ended from this side.
constexpr Duration kDeadlineMargin = std::chrono::seconds(1);

}  // namespace

ItemRun::ItemRun(BatchExecutor& executor, ItemRef ref, std::string item_id, RequestInfo info,
                 int attempts, const DueTime& due)
    : executor_(executor),
      context_(executor.context_),
      ref_(std::move(ref)),
      item_id_(std::move(item_id)),
      info_(std::move(info)),
      attempts_(attempts),
      due_(due),
      attempt_(context_, TrafficClass::kBatch) {}

ItemProgress& ItemRun::progress() {
  return executor_.progress_[ref_];
}

void ItemRun::start(const Replica& replica, std::string bytes, double missing_tokens,
                    TimePoint now) {
  started_at_ = now;
  last_progress_ = now;
  origin_ = {replica.record.service, replica.record.software_version};
  attempt_.avoid_connections(progress().used_connections);
  attempt_.start(replica, std::move(bytes), missing_tokens, *this);
}

bool ItemRun::on_head(const net::ResponseHead& head) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  answer_ = attempt_.handle_head(head, item_id_, now);
  if (answer_ == AnswerKind::kOtherRequest) {
    return false;
  }
  if (answer_ == AnswerKind::kForeign) {
    interrupted(now, "the answer is not the replica's own");
    return false;
  }
  last_progress_ = now;
  if (answer_ == AnswerKind::kProvisional) {
    return true;
  }
  status_ = head.status;
  if (answer_ == AnswerKind::kSuccess) {
    context_.selector.note_prompt(attempt_.replica(), info_.prompt, now);
  }
  return true;
}

void ItemRun::on_body(std::string_view bytes) {
  answer_bytes_ += bytes.size();
  if (answer_ != AnswerKind::kSuccess) {
    return;
  }
  attempt_.observe_stream(bytes, net::steady_now());
  bytes_without_event_ += bytes.size();
  framer_.feed(bytes, [this](const StreamEvent& event) { handle_event(event); });
  if (bytes_without_event_ > kMaxBytesWithoutEvent) {
    end_endless_run("bytes_without_event", "the stream does not go on");
  } else if (progress().produced.text.size() > executor_.largest_text(ref_.partition)) {
    progress().restart();
    end_endless_run("item_text", "the output is larger than the log takes");
  }
}

void ItemRun::end_endless_run(const char* limit, const char* why) {
  const TimePoint now = net::steady_now();
  context_.metrics.count_endless_answer(limit);
  spdlog::warn(
      "batch: answer exceeds a limit job={} item={} replica={} limit={} bodyBytes={} afterMs={}",
      ref_.job, item_id_, attempt_.replica(), limit, answer_bytes_, to_ms(now - started_at_));
  attempt_.signal(ReplicaSignal::kBroken, now);
  interrupted(now, why);
}

void ItemRun::handle_event(const StreamEvent& event) {
  ItemCheckpoint& kept = progress().produced;
  if (!event.id || broken_sequence_) {
    return;
  }
  if (kept.last_event && *event.id <= *kept.last_event) {
    return;
  }
  if (kept.last_event && *event.id != *kept.last_event + 1) {
    broken_sequence_ = true;
    return;
  }
  if (kept.last_event) {
    kept.text += '\n';
  } else {
    kept.origin = origin_;
  }
  kept.text += event.data;
  kept.last_event = event.id;
  last_progress_ = net::steady_now();
  bytes_without_event_ = 0;
}

void ItemRun::on_complete(net::ResponseEnd end) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  const bool stream = answer_ == AnswerKind::kSuccess;
  const EndedAnswer answer{end == net::ResponseEnd::kFramed, stream,
                           stream && !framer_.at_boundary(), answer_bytes_};
  // The status alone says what became of an item that failed.
  const AnswerEnd verdict = stream ? judge_answer_end(answer) : AnswerEnd::kWhole;
  if (verdict == AnswerEnd::kWhole) {
    accept_answer(now);
    return;
  }
  context_.metrics.count_doubtful_end(to_string(verdict));
  spdlog::info(
      "batch: end of answer in doubt job={} item={} replica={} status={} framed={} "
      "partialEventBytes={} verdict={}",
      ref_.job, item_id_, attempt_.replica(), status_, answer.framed, framer_.partial_bytes(),
      to_string(verdict));
  if (verdict == AnswerEnd::kDoubtful) {
    verify_end();
  } else {
    handle_broken_run(now, "the answer was broken off");
  }
}

void ItemRun::verify_end() {
  const TimePoint ended_at = net::steady_now();
  attempt_.check_process(weak_from_this(), [this, ended_at](ProcessState process) {
    if (attempt_.under_way()) {
      handle_checked_end(process, ended_at);
    }
  });
}

void ItemRun::handle_checked_end(ProcessState process, TimePoint ended_at) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  spdlog::info("batch: end of answer checked job={} item={} replica={} process={} tookMs={}",
               ref_.job, item_id_, attempt_.replica(), to_string(process), to_ms(now - ended_at));
  if (process == ProcessState::kRuns) {
    accept_answer(now);
  } else {
    handle_broken_run(now, "the replica ended with its answer");
  }
}

void ItemRun::handle_broken_run(TimePoint now, const char* why) {
  attempt_.signal(ReplicaSignal::kBroken, now);
  report_to_crash_watch(false);
  interrupted(now, why);
}

void ItemRun::accept_answer(TimePoint now) {
  const auto self = shared_from_this();
  const bool failed = answer_ == AnswerKind::kFailure && status_ == kItemFailed;
  attempt_.signal(failed ? ReplicaSignal::kFailed : ReplicaSignal::kAnswered, now);
  if (answer_ == AnswerKind::kSuccess) {
    attempt_.note_pace(now);
  }
  attempt_.end();
  progress().used_connections = attempt_.used_connections();
  if (shows_not_run(answer_)) {
    context_.metrics.count_item("no_room");
    executor_.remove_run(self);
    executor_.retry(ref_, kRetryPause, now);
  } else if (answer_ == AnswerKind::kSuccess) {
    accept_success(now);
  } else {
    accept_failure(now);
  }
}

void ItemRun::accept_success(TimePoint now) {
  ItemProgress& kept = progress();
  if (broken_sequence_ || !kept.produced.last_event) {
    kept.restart();
    interrupted(now, "the stream lacks an event");
    return;
  }
  context_.metrics.count_item("succeeded");
  executor_.remove_run(shared_from_this());
  executor_.complete(ref_, true, std::move(kept.produced.text));
}

void ItemRun::accept_failure(TimePoint now) {
  if (status_ != kItemFailed && status_ != kItemImpossible) {
    interrupted(now, "the answer says nothing of the item");
    return;
  }
  ItemProgress& kept = progress();
  kept.last_replica = attempt_.replica();  // The fault may be the replica's: prefer another one.
  ++kept.produced.failures;
  context_.metrics.count_item("failed");
  spdlog::info("batch: item failed job={} item={} status={} failures={}/{}", ref_.job, item_id_,
               status_, kept.produced.failures, attempts_);
  executor_.remove_run(shared_from_this());
  if (status_ == kItemImpossible || kept.produced.failures >= attempts_) {
    executor_.complete(ref_, false, {});
  } else {
    executor_.retry(ref_, kRetryPause, now);
  }
}

void ItemRun::on_failure(net::CallFailure failure) {
  const TimePoint now = net::steady_now();
  const bool not_sent = failure == net::CallFailure::kNotSent;
  if (failure == net::CallFailure::kOversized) {
    end_endless_run("overhead", "the answer does not end");
    return;
  }
  if (!not_sent && failure != net::CallFailure::kMalformed) {
    handle_broken_run(now, "the connection ended");
    return;
  }
  attempt_.signal(not_sent ? ReplicaSignal::kUnreachable : ReplicaSignal::kBroken, now);
  interrupted(now, not_sent ? "the item was not sent" : "the answer is malformed");
}

void ItemRun::interrupted(TimePoint now, const char* why) {
  const auto self = shared_from_this();
  ItemProgress& kept = progress();
  kept.last_replica = attempt_.replica();
  attempt_.end();
  ++kept.interruptions;
  context_.metrics.count_item("interrupted");
  if (is_sampled(item_id_)) {
    spdlog::info("batch: run interrupted job={} item={} events={} why=\"{}\"", ref_.job, item_id_,
                 kept.produced.last_event.value_or(0), why);
  }
  executor_.remove_run(self);
  executor_.retry(ref_, kRetryPause * std::min(kept.interruptions, 8), now);
}

void ItemRun::report_to_crash_watch(bool replica_ended) {
  if (context_.crash_watch == nullptr) {
    return;
  }
  if (replica_ended) {
    context_.crash_watch->replica_ended(std::nullopt, attempt_.replica());
  } else {
    context_.crash_watch->run_broken(std::nullopt, attempt_.replica());
  }
}

void ItemRun::tick(TimePoint now) {
  if (context_.replicas.incarnation_ended(attempt_.replica())) {
    report_to_crash_watch(true);
    interrupted(now, "the replica has started again");
  } else if (now - started_at_ > BatchExecutor::kItemDeadline + kDeadlineMargin) {
    end_endless_run("run_time", "the run does not end");
  } else if (now - last_progress_ > context_.knobs.item_silence) {
    attempt_.signal(ReplicaSignal::kBroken, now);
    interrupted(now, "the replica is silent");
  }
}

}  // namespace dockpoint
