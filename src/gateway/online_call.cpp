#include "gateway/online_call.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "dockpoint/core/hash.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/retry_after.hpp"
#include "gateway/sampling.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// Unsent output, in bytes, above which reading from the replica pauses.
constexpr std::size_t kMaxPendingOutput = 256 * 1024;

/// Timeout of requests on routes without one.
constexpr Duration kDefaultTimeout = std::chrono::seconds(60);

constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;

/// @return the ids of prompt parts in hexadecimal, for logs.
std::string part_ids(const std::vector<PromptPart>& parts) {
  std::string ids;
  for (const PromptPart& part : parts) {
    ids += fmt::format("{}{:x}", ids.empty() ? "" : ",", part.id);
  }
  return ids;
}

/// @return whether a status promises the caller that the request did not run.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

OnlineCall::OnlineCall(OnlineProxy& proxy, net::ExchangePtr exchange,
                       std::shared_ptr<const RoutingConfiguration> configuration,
                       const RouteConfig& route, const Tenant* tenant)
    : proxy_(proxy),
      context_(proxy.context_),
      exchange_(std::move(exchange)),
      configuration_(std::move(configuration)),
      route_(route),
      tenant_(tenant),
      info_(context_.protocol.read_request(exchange_->request())),
      attempt_(context_, TrafficClass::kOnline),
      body_(proxy.answer_budget_) {
  const Duration timeout = route_.timeout > Duration{} ? route_.timeout : kDefaultTimeout;
  deadline_ = exchange_->received() + std::min(timeout, info_.time_left.value_or(timeout));
  history_.repeatable = route_.repeatable();
  history_.resumable = route_.kind == RouteKind::kStreaming && route_.resumable;
  history_.attempts_allowed = std::max(1, route_.attempts);
  last_event_ = info_.last_event_id;
}

void OnlineCall::start() {
  exchange_->on_client_gone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->on_caller_gone();
    }
  });
  exchange_->on_drained([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->on_caller_drained();
    }
  });
  if (info_.id.empty()) {
    fail(400, "the request has no id");
    return;
  }
  if (route_.services.empty()) {
    refuse("the route names no service");
    return;
  }
  if (refuse_while_stopping(exchange_->received())) {
    return;
  }
  const bool resumes = last_event_ && history_.resumable && context_.stream_origins != nullptr;
  if (!resumes) {
    service_ = proxy_.rotation_.next(route_);
  }
  if (refuse_quarantined(exchange_->received()) || refuse_over_rate_limit(exchange_->received())) {
    return;
  }
  if (resumes) {
    find_origin(exchange_->received());
  } else {
    send(exchange_->received());
  }
}

void OnlineCall::find_origin(TimePoint now) {
  const std::string service =
      route_.services.size() == 1 ? route_.services.front().service : std::string{};
  const StreamIdentity identity =
      info_.resumed_attempt.empty() ? StreamIdentity::kContent : StreamIdentity::kAttempt;
  context_.stream_origins->resolve(resumed_key(), identity, service, now,
                                   [weak = weak_from_this()](const OriginVerdict& verdict) {
                                     if (const auto self = weak.lock()) {
                                       self->resume_stream(verdict);
                                     }
                                   });
}

void OnlineCall::resume_stream(const OriginVerdict& verdict) {
  if (finished_) {
    return;
  }
  origin_ = verdict.origin;
  origin_source_ = verdict.source;
  origin_age_ = verdict.age;
  service_ = origin_.service;
  const bool routed = std::any_of(route_.services.begin(), route_.services.end(),
                                  [&](const auto& part) { return part.service == service_; });
  const bool serves = routed && context_.replicas.serves(service_, origin_.software_version);
  const bool known = !origin_.unknown();
  context_.metrics.count_resumption(known && !serves ? "no_replica" : to_string(origin_source_));
  if (known && serves) {
    if (!refuse_quarantined(net::steady_now())) {
      send(net::steady_now());
    }
    return;
  }
  spdlog::info(
      "online: stream not resumed id={} resumes={} content={} lastEvent={} origin={} "
      "originAgeMs={} service={} software={}",
      info_.id, info_.resumed_attempt, fingerprint().hex(), *last_event_, to_string(origin_source_),
      to_ms(origin_age_), service_, origin_.software_version);
  if (known) {
    refuse("no replica of the stream's software version");
  } else if (origin_source_ == OriginSource::kUnconfirmed) {
    refuse("the log has not confirmed that a single software version serves");
  } else {
    refuse("the stream's software version is unknown");
  }
}

void OnlineCall::record_origin() {
  if (origin_recorded_ || !history_.resumable || context_.stream_origins == nullptr) {
    return;
  }
  origin_recorded_ = true;
  const TimePoint now = net::steady_now();
  const std::string& first_attempt =
      info_.resumed_attempt.empty() ? info_.id : info_.resumed_attempt;
  context_.stream_origins->record(stream_key(tenant_name(), first_attempt), origin_, now);
  context_.stream_origins->record(fingerprint(), origin_, now);
}

StreamKey OnlineCall::resumed_key() {
  return info_.resumed_attempt.empty() ? fingerprint()
                                       : stream_key(tenant_name(), info_.resumed_attempt);
}

std::string_view OnlineCall::tenant_name() const {
  return tenant_ == nullptr ? std::string_view{} : tenant_->name;
}

void OnlineCall::send(TimePoint now) {
  if (end_instead_of_late_send(now)) {
    return;
  }
  ReplicaQuery query{service_, TrafficClass::kOnline, info_.prompt, excluded_, {}};
  if (last_event_) {
    query.software_version = origin_.software_version;
  }
  ReplicaChoice choice = context_.selector.choose(query, now);
  if (choice.replica == nullptr && !excluded_.empty()) {
    // Every replica has failed this request once: try any of them again.
    excluded_.clear();
    query.excluded.clear();
    choice = context_.selector.choose(query, now);
  }
  if (choice.replica == nullptr) {
    if (exchange_->answered()) {
      break_off("no replica to go on at");
    } else if (history_.runs_possible == 0) {
      refuse("no replica");
    } else {
      fail(502, "no replica to repeat at");
    }
    return;
  }
  if (refuse_for_load(choice, now)) {
    return;
  }
  const ReplicaRecord& replica = choice.replica->record;
  const std::string body = exchange_->body();
  net::RequestHead head = context_.protocol.replica_request(
      exchange_->request(), body.size(),
      {replica.registered_name(), std::max(deadline_ - now, Duration(std::chrono::milliseconds(1))),
       last_event_});
  sent_at_ = now;
  last_progress_ = now;
  answer_.reset();
  streaming_ = false;
  backpressured_ = false;
  silence_reported_ = false;
  body_.clear();
  answer_bytes_ = 0;
  bytes_without_event_ = 0;
  framer_.discard_partial();
  awaits_resumed_event_ = last_event_.has_value();
  out_of_sequence_ = false;
  ++sends_;
  load_at_choice_ = choice.replica->load(now);
  slots_at_choice_ = replica.slots;
  attempt_software_ = replica.software_version;
  own_slot_ = choice.own_slot;
  expected_wait_ = choice.expected_wait;
  context_.metrics.count_placement(own_slot_);
  attempt_.start(*choice.replica, net::serialize(head) + body, choice.missing_tokens, *this);
  const bool would_wait =
      choice.expected_load >= context_.knobs.yield_request_load * std::max(1, replica.slots);
  if (would_wait && choice.replica->all_batch() > 0 && context_.request_slot) {
    context_.request_slot(*choice.replica);
  }
  if (choice.missing_tokens >= context_.knobs.announced_prefill_tokens && context_.announce_load) {
    context_.announce_load();
  }
  if (last_event_) {
    log_resumption(replica);
  }
  if (is_sampled(info_.id) || sends_ > 1) {
    const Duration records_age =
        context_.replica_records_age ? context_.replica_records_age() : Duration{};
    spdlog::info(
        "online: sent id={} route={} version={} replica={} recordsAgeMs={} attempt={} load={}/{} "
        "ownSlot={} waitMs={} missingTokens={} leftMs={}",
        info_.id, route_.name, configuration_->version, attempt_.replica(), to_ms(records_age),
        sends_, load_at_choice_, slots_at_choice_, own_slot_, to_ms(choice.expected_wait),
        static_cast<int>(choice.missing_tokens), to_ms(deadline_ - now));
  }
}

void OnlineCall::log_resumption(const ReplicaRecord& replica) const {
  const Duration records_age =
      context_.replica_records_age ? context_.replica_records_age() : Duration{};
  spdlog::info(
      "online: stream resumed id={} resumes={} lastEvent={} sends={} replica={} software={} "
      "before={} origin={} originAgeMs={} recordsAgeMs={}",
      info_.id, info_.resumed_attempt, *last_event_, sends_, replica.id, replica.software_version,
      origin_.unknown() ? "unknown" : origin_.software_version, to_string(origin_source_),
      to_ms(origin_age_), to_ms(records_age));
}

bool OnlineCall::on_head(const net::ResponseHead& head) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  const AnswerKind answer = attempt_.handle_head(head, info_.id, now);
  if (answer == AnswerKind::kOtherRequest) {
    spdlog::warn("online: answer to another request skipped id={} replica={} status={}", info_.id,
                 attempt_.replica(), head.status);
    return false;
  }
  if (answer == AnswerKind::kForeign) {
    end_attempt();
    retry_or_resume(now);
    return false;
  }
  last_progress_ = now;
  if (answer == AnswerKind::kProvisional) {
    return true;
  }
  answer_ = answer;
  head_ = head;
  if (answer == AnswerKind::kSuccess) {
    context_.selector.note_prompt(attempt_.replica(), info_.prompt, now);
    if (route_.kind == RouteKind::kStreaming) {
      streaming_ = begin_stream(head);
    }
  }
  return true;
}

bool OnlineCall::begin_stream(const net::ResponseHead& head) {
  if (!exchange_->answered()) {
    note_first_byte();
    net::ResponseHead passed{head.status, head.reason, head.headers};
    passed.headers.erase_connection_fields();
    exchange_->begin(std::move(passed));
  }
  return true;
}

void OnlineCall::on_body(std::string_view bytes) {
  const auto self = shared_from_this();
  answer_bytes_ += bytes.size();
  if (!streaming_) {
    last_progress_ = net::steady_now();
    if (!body_.append(bytes)) {
      abandon_endless_answer("buffered_body");
    }
    return;
  }
  attempt_.observe_stream(bytes, net::steady_now());
  bytes_without_event_ += bytes.size();
  if (history_.resumable) {
    framer_.feed(bytes, [this](const StreamEvent& event) { forward_event(event); });
    if (out_of_sequence_) {
      abandon_resumed_run();
      return;
    }
  } else {
    framer_.feed(bytes, [this](const StreamEvent& event) { note_progress(event); });
    exchange_->write(bytes);
  }
  if (!finished_ && bytes_without_event_ > kMaxBytesWithoutEvent) {
    abandon_endless_answer("bytes_without_event");
    return;
  }
  if (!finished_ && attempt_.call() && exchange_->pending_output() > kMaxPendingOutput) {
    backpressured_ = true;
    attempt_.call()->pause_reading();
  }
}

void OnlineCall::note_progress(const StreamEvent& event) {
  if (event.has_data) {  // Comments have none.
    last_progress_ = net::steady_now();
    bytes_without_event_ = 0;
  }
}

void OnlineCall::abandon_endless_answer(const char* limit) {
  report_endless_answer(limit);
  const TimePoint now = net::steady_now();
  attempt_.signal(ReplicaSignal::kBroken, now);
  end_attempt();
  retry_or_resume(now);
}

void OnlineCall::report_endless_answer(const char* limit) {
  context_.metrics.count_endless_answer(limit);
  spdlog::warn("online: answer exceeds a limit id={} replica={} limit={} bodyBytes={} afterMs={}",
               info_.id, attempt_.replica(), limit, answer_bytes_,
               to_ms(net::steady_now() - sent_at_));
}

void OnlineCall::abandon_resumed_run() {
  spdlog::warn("online: resumed run is out of sequence id={} replica={} lastEvent={}", info_.id,
               attempt_.replica(), *last_event_);
  const TimePoint now = net::steady_now();
  attempt_.signal(ReplicaSignal::kBroken, now);
  end_attempt();
  retry_or_resume(now);
}

bool OnlineCall::continues_the_stream(const StreamEvent& event) const {
  return event.id ? *event.id == *last_event_ + 1 : !event.has_data;
}

void OnlineCall::forward_event(const StreamEvent& event) {
  if (event.id && last_event_ && *event.id <= *last_event_) {
    return;  // The caller received it from an earlier attempt.
  }
  out_of_sequence_ = out_of_sequence_ || (awaits_resumed_event_ && !continues_the_stream(event));
  if (out_of_sequence_) {
    return;
  }
  awaits_resumed_event_ = awaits_resumed_event_ && !event.id;
  note_progress(event);
  if (event.id) {
    if (!last_event_) {
      origin_ = {service_, attempt_software_};
    }
    last_event_ = event.id;
    record_origin();
  }
  exchange_->write(event.bytes);
}

void OnlineCall::on_caller_drained() {
  if (attempt_.call()) {
    attempt_.call()->resume_reading();
  }
}

void OnlineCall::on_complete(net::ResponseEnd end) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  const EndedAnswer answer{end == net::ResponseEnd::kFramed, streaming_,
                           streaming_ && !framer_.at_boundary(), answer_bytes_};
  const AnswerEnd verdict = rejected() ? AnswerEnd::kWhole : judge_answer_end(answer);
  if (verdict == AnswerEnd::kWhole) {
    accept_answer(now);
    return;
  }
  log_answer_end(answer, verdict);
  if (verdict == AnswerEnd::kDoubtful) {
    verify_end();
  } else {
    attempt_.signal(ReplicaSignal::kBroken, now);
    handle_broken_attempt(now);
  }
}

void OnlineCall::verify_end() {
  const TimePoint ended_at = net::steady_now();
  attempt_.check_process(weak_from_this(), [this, send = sends_, ended_at](ProcessState process) {
    if (!finished_ && sends_ == send && attempt_.under_way()) {
      handle_checked_end(process, ended_at);
    }
  });
}

void OnlineCall::handle_checked_end(ProcessState process, TimePoint ended_at) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  spdlog::info("online: end of answer checked id={} replica={} process={} tookMs={}", info_.id,
               attempt_.replica(), to_string(process), to_ms(now - ended_at));
  if (process == ProcessState::kRuns) {
    accept_answer(ended_at);
    return;
  }
  attempt_.signal(ReplicaSignal::kBroken, now);
  handle_broken_attempt(now);
}

void OnlineCall::accept_answer(TimePoint ended_at) {
  const TimePoint now = net::steady_now();
  attempt_.signal(replica_reported_failure() ? ReplicaSignal::kFailed : ReplicaSignal::kAnswered,
                  now);
  if (rejected()) {
    end_attempt();
    after_failure(AttemptFailure::kNotRun, now);
    return;
  }
  context_.selector.note_service_time(service_, ended_at - sent_at_);
  proxy_.answer_times_.record(route_.name, ended_at - exchange_->received(), now);
  if (answer_ == AnswerKind::kSuccess) {
    note_good_run();
    if (!backpressured_) {
      attempt_.note_pace(ended_at);
    }
  }
  if (!streaming_) {
    complete_buffered();
    return;
  }
  end_attempt();
  exchange_->end();
  finish("answered", "stream complete");
}

void OnlineCall::log_answer_end(const EndedAnswer& answer, AnswerEnd verdict) const {
  context_.metrics.count_doubtful_end(to_string(verdict));
  spdlog::info(
      "online: end of answer in doubt id={} replica={} status={} framed={} stream={} bytes={} "
      "partialEventBytes={} afterMs={} verdict={}",
      info_.id, attempt_.replica(), head_.status, answer.framed, answer.stream, answer.bytes,
      framer_.partial_bytes(), to_ms(net::steady_now() - sent_at_), to_string(verdict));
}

void OnlineCall::complete_buffered() {
  const TimePoint now = net::steady_now();
  const bool success = answer_ == AnswerKind::kSuccess;
  if (exchange_->answered()) {
    // The attempt to resume the stream was not answered with a stream.
    end_attempt();
    after_failure(AttemptFailure::kInterrupted, now);
    return;
  }
  const bool failed = head_.status >= kInternalError;
  if (failed && history_.repeatable && history_.runs_possible + 1 < history_.attempts_allowed &&
      now < deadline_) {
    end_attempt();
    after_failure(AttemptFailure::kMayHaveRun, now);
    return;
  }
  end_attempt();
  if (promises_not_run(head_.status)) {
    fail(kBadGateway, "the replica's answer cannot be passed on");
    return;
  }
  net::Headers headers = head_.headers;
  headers.erase_connection_fields();
  note_first_byte();
  exchange_->respond(head_.status, std::move(headers), body_.bytes());
  finish("answered", success ? "answer complete" : "the replica's failure was passed on");
}

void OnlineCall::on_failure(net::CallFailure failure) {
  const auto self = shared_from_this();
  const TimePoint now = net::steady_now();
  const bool not_sent = failure == net::CallFailure::kNotSent;
  attempt_.signal(not_sent ? ReplicaSignal::kUnreachable : ReplicaSignal::kBroken, now);
  spdlog::warn(
      "online: attempt failed id={} content={} parts={} replica={} failure={} headSeen={} "
      "reused={} "
      "afterMs={}",
      info_.id, fingerprint().hex(), part_ids(info_.prompt), attempt_.replica(),
      static_cast<int>(failure), answer_.has_value(), attempt_.call() && attempt_.call()->reused(),
      to_ms(now - sent_at_));
  const bool not_run = not_sent || rejected();
  if (not_run) {
    const bool gone = not_sent && attempt_.call()->connection_refused();
    end_attempt();
    after_failure(gone ? AttemptFailure::kReplicaGone : AttemptFailure::kNotRun, now);
  } else if (failure == net::CallFailure::kOversized) {
    report_endless_answer("overhead");
    end_attempt();
    retry_or_resume(now);
  } else if (failure == net::CallFailure::kMalformed) {
    end_attempt();
    retry_or_resume(now);
  } else {
    handle_broken_attempt(now);
  }
}

void OnlineCall::handle_broken_attempt(TimePoint now) {
  if (context_.crash_watch != nullptr) {
    context_.crash_watch->run_broken(suspects(), attempt_.replica());
  }
  end_attempt();
  retry_or_resume(now);
}

void OnlineCall::retry_or_resume(TimePoint now) {
  after_failure(exchange_->answered() ? AttemptFailure::kInterrupted : AttemptFailure::kMayHaveRun,
                now);
}

void OnlineCall::end_attempt() {
  if (attempt_.under_way()) {
    excluded_.insert(attempt_.replica());
    attempt_.end();
  }
}

void OnlineCall::after_failure(AttemptFailure failure, TimePoint now) {
  history_.answer_begun = exchange_->answered();
  const bool not_run =
      failure == AttemptFailure::kNotRun || failure == AttemptFailure::kReplicaGone;
  context_.metrics.count_attempt(not_run ? "not_run" : "failed");
  const NextStep step = decide_after_failure(history_, failure, context_.knobs);
  if (now >= deadline_) {
    expire(now);
    return;
  }
  switch (step) {
    case NextStep::kRetry:
    case NextStep::kResume:
      if (quarantined(now)) {
        abort_quarantined(now);
      } else {
        send(now);
      }
      return;
    case NextStep::kRefuse:
      refuse("no replica took it");
      return;
    case NextStep::kFail:
      fail(502, "it may have run and may not be repeated");
      return;
    case NextStep::kAbortStream:
      break_off("the stream cannot go on");
      return;
  }
}

void OnlineCall::tick(TimePoint now) {
  if (finished_) {
    return;
  }
  const auto self = shared_from_this();
  if (now >= deadline_) {
    expire(now);
  } else if (attempt_.under_way() && context_.replicas.incarnation_ended(attempt_.replica())) {
    if (context_.crash_watch != nullptr) {
      context_.crash_watch->replica_ended(suspects(), attempt_.replica());
    }
    fail_over("the replica has started again", now);
  } else if (attempt_.under_way()) {
    check_silence(now);
  }
}

void OnlineCall::check_silence(TimePoint now) {
  const Duration silence = now - last_progress_;
  const Duration objective = answer_ ? route_.gap_target : route_.target;
  const Duration limit =
      std::max(objective * context_.knobs.silence_objectives, context_.knobs.silence_minimum);
  if (silence < limit) {
    return;
  }
  if (!may_fail_over(now)) {
    if (!std::exchange(silence_reported_, true)) {
      attempt_.signal(ReplicaSignal::kSilent, now);
    }
    return;
  }
  fail_over("the replica is silent", now);
}

void OnlineCall::fail_over(const char* why, TimePoint now) {
  spdlog::warn("online: attempt abandoned id={} replica={} silentMs={} why=\"{}\"", info_.id,
               attempt_.replica(), to_ms(now - last_progress_), why);
  attempt_.signal(ReplicaSignal::kBroken, now);
  end_attempt();
  retry_or_resume(now);
}

bool OnlineCall::may_fail_over(TimePoint now) const {
  if (!exchange_->answered() && !ends_in_time(now)) {
    return false;  // The replica may still answer before this node exits; another one would not.
  }
  const bool attempts_left = history_.runs_possible + 1 < history_.attempts_allowed;
  const bool repeatable = answer_ ? streaming_ && history_.resumable : history_.repeatable;
  return attempts_left && repeatable;
}

bool OnlineCall::replica_reported_failure() const {
  return !rejected() && (head_.status == kInternalError || head_.status == kBadGateway);
}

void OnlineCall::expire(TimePoint now) {
  const bool ran = may_have_run();
  end_attempt();
  if (exchange_->answered()) {
    break_off("time is up within the answer");
  } else if (!ran) {
    refuse("time is up before it was sent");
  } else {
    proxy_.answer_times_.record(route_.name, now - exchange_->received(), now);
    fail(504, "time is up");
  }
}

bool OnlineCall::may_have_run() const {
  const bool sent = attempt_.call() && attempt_.call()->sent() && !rejected();
  return sent || history_.runs_possible > 0;
}

void OnlineCall::end_before_exit() {
  const auto self = shared_from_this();
  const bool ran = may_have_run();
  end_attempt();
  if (exchange_->answered()) {
    break_off("the node exits within the answer");
  } else if (!ran) {
    refuse("the node exits before it was sent", kStoppingRetryAfter);
  } else {
    fail(kBadGateway, "the node exits before the answer");
  }
}

void OnlineCall::on_caller_gone() {
  const auto self = shared_from_this();
  end_attempt();
  finish("caller_gone", "the caller closed its connection");
}

std::optional<QuarantineVerdict> OnlineCall::quarantined(TimePoint now) {
  if (context_.crash_watch == nullptr || !context_.crash_watch->may_hold()) {
    return std::nullopt;
  }
  const auto verdict = context_.crash_watch->check(fingerprint(), now);
  return verdict ? verdict
                 : context_.crash_watch->check_parts_or_begin_trial(shared_prompt_parts(), now);
}

bool OnlineCall::refuse_quarantined(TimePoint now) {
  const std::optional<QuarantineVerdict> verdict = quarantined(now);
  if (!verdict) {
    return false;
  }
  context_.metrics.count_quarantined(kind());
  spdlog::info("online: quarantined id={} content={} route={} ends={} lastEndMs={} retryAfterMs={}",
               info_.id, fingerprint().hex(), route_.name, verdict->crashes,
               to_ms(verdict->since_last_crash), to_ms(verdict->retry_after));
  refuse("replicas ended while they ran it", verdict->retry_after);
  return true;
}

void OnlineCall::abort_quarantined(TimePoint now) {
  if (exchange_->answered()) {
    break_off("replicas ended while they ran it");
  } else if (history_.runs_possible > 0) {
    fail(502, "replicas ended while they ran it");
  } else {
    refuse_quarantined(now);
  }
}

bool OnlineCall::refuse_over_rate_limit(TimePoint now) {
  if (tenant_ == nullptr || context_.rate_limiter == nullptr) {
    return false;
  }
  const RateVerdict verdict = context_.rate_limiter->admit(*tenant_, now);
  counted_ = verdict.admitted;
  if (counted_) {
    return false;
  }
  const char* refusal = to_string(verdict.refusal);
  context_.metrics.count_rate_limited(tenant_->name, refusal);
  if (is_sampled(info_.id)) {
    spdlog::info(
        "online: over the rate limit id={} tenant={} version={} perSecond={} burst={} "
        "tokens={:.1f} nodeShare={:.1f} nodesHeard={}/{} reason={} retryAfterMs={}",
        info_.id, tenant_->name, configuration_->version, tenant_->rate.per_second,
        tenant_->rate.burst, verdict.tokens, verdict.share, verdict.heard, verdict.known, refusal,
        to_ms(verdict.retry_after));
  }
  exchange_->respond(429, {{"Retry-After", retry_after_value(verdict.retry_after)}}, {});
  finish("over_limit", "the tenant is over its rate limit");
  return true;
}

bool OnlineCall::refuse_while_stopping(TimePoint now) {
  if (context_.stop_admission == nullptr || !context_.stop_admission->stopping()) {
    return false;
  }
  const std::optional<Duration> usual = proxy_.answer_times_.longest(route_.name, now);
  if (context_.stop_admission->accepts(now, deadline_, usual)) {
    return false;
  }
  refuse("the node is stopping", kStoppingRetryAfter);
  return true;
}

bool OnlineCall::ends_in_time(TimePoint now) const {
  if (context_.stop_admission == nullptr || !context_.stop_admission->stopping()) {
    return true;
  }
  const std::optional<Duration> usual = proxy_.answer_times_.longest(route_.name, now);
  return context_.stop_admission->ends_in_time(now, deadline_, usual);
}

bool OnlineCall::end_instead_of_late_send(TimePoint now) {
  if (exchange_->answered() || ends_in_time(now)) {
    return false;
  }
  if (may_have_run()) {
    fail(kBadGateway, "the node exits before another attempt ends");
  } else {
    refuse("the node exits before an attempt ends", kStoppingRetryAfter);
  }
  return true;
}

bool OnlineCall::refuse_for_load(const ReplicaChoice& choice, TimePoint now) {
  if (sends_ > 0 || info_.last_event_id) {
    return false;
  }
  const OverloadInput input{route_.target, deadline_ - now, choice.expected_wait};
  const auto pause = proxy_.overload_.refuse(route_.name, input, hash64(info_.id));
  if (pause) {
    load_at_choice_ = choice.replica->load(now);
    slots_at_choice_ = choice.replica->record.slots;
    refuse("the replicas are too busy to answer in time", *pause);
  }
  return pause.has_value();
}

void OnlineCall::refuse(const char* why) {
  const double jitter = fraction_of(hash64(info_.id));
  refuse(why, context_.knobs.retry_after_minimum +
                  std::chrono::duration_cast<Duration>(context_.knobs.retry_after_spread * jitter));
}

void OnlineCall::refuse(const char* why, Duration pause) {
  exchange_->respond(503, {{"Retry-After", retry_after_value(pause)}}, {});
  finish("refused", why);
}

void OnlineCall::fail(int status, const char* why) {
  exchange_->respond(status, {}, {});
  finish(status == 504 ? "timed_out" : "failed", why);
}

void OnlineCall::break_off(const char* why) {
  exchange_->abort();
  finish("broken_off", why);
}

void OnlineCall::finish(const char* outcome, const char* why) {
  if (finished_) {
    return;
  }
  finished_ = true;
  const bool not_run = std::string_view(outcome) == "refused";
  if (counted_ && not_run) {
    context_.rate_limiter->refund(*tenant_, net::steady_now());
  }
  context_.metrics.count_request(kind(), outcome);
  const std::string_view result = outcome;
  const bool ordinary = (result == "answered" && sends_ == 1 && !late()) || result == "over_limit";
  if (!ordinary || is_sampled(info_.id)) {
    spdlog::info(
        "online: {} id={} route={} version={} service={} replica={} sends={} mayHaveRun={} "
        "load={}/{} ownSlot={} firstByteMs={} late={} tookMs={} why=\"{}\"",
        outcome, info_.id, route_.name, configuration_->version, service_, attempt_.replica(),
        sends_, history_.runs_possible, load_at_choice_, slots_at_choice_, own_slot_,
        to_ms(first_byte_after_), late(), to_ms(net::steady_now() - exchange_->received()), why);
  }
  proxy_.calls_.erase(shared_from_this());
}

void OnlineCall::note_first_byte() {
  const TimePoint now = net::steady_now();
  first_byte_after_ = now - exchange_->received();
  context_.metrics.observe_first_byte(kind(), first_byte_after_);
  context_.metrics.observe_wait(kind(), wait_error(expected_wait_, now - sent_at_));
}

const RequestFingerprint& OnlineCall::fingerprint() {
  if (!fingerprint_) {
    const net::RequestHead& head = exchange_->request();
    fingerprint_ = fingerprint_of(
        {head.method, head.headers.get("Host"), head.target, tenant_name(), exchange_->body()});
  }
  return *fingerprint_;
}

std::vector<RequestFingerprint> OnlineCall::shared_prompt_parts() const {
  std::vector<std::uint64_t> ids;
  for (const PromptPart& part : info_.prompt) {
    ids.push_back(part.id);
  }
  return shared_parts(service_, ids);
}

RunSuspects OnlineCall::suspects() {
  return {fingerprint(), shared_prompt_parts()};
}

void OnlineCall::note_good_run() {
  if (context_.crash_watch == nullptr) {
    return;
  }
  context_.crash_watch->parts_ran_well(shared_prompt_parts());
  if (context_.crash_watch->may_hold()) {
    context_.crash_watch->content_ran_well(fingerprint());
  }
}

const char* OnlineCall::kind() const {
  switch (route_.kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non_idempotent";
    case RouteKind::kStreaming:
      return "streaming";
    case RouteKind::kBatch:
      return "batch";
  }
  return "unknown";
}

}  // namespace dockpoint
