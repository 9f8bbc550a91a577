#include "http/online_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <ostream>
#include <thread>

#include "dockpoint/core/hash.hpp"
#include "http/engine_protocol.hpp"
#include "http/http_server.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kRequestCancelTimeout{2'000};
constexpr std::chrono::milliseconds kResumeDelay{50};
constexpr int kResumeAttempts = 3;
constexpr std::int64_t kMaximumDeadlineMs = 3'600'000;
constexpr std::size_t kMaximumNameLength = 128;
constexpr const char* kDefaultTenant = "default";

/// Parses an integer header within the given bounds.
Result<std::int64_t> integer_header(const Poco::Net::HTTPServerRequest& request, const char* name,
                                    std::int64_t minimum, std::int64_t maximum,
                                    std::int64_t fallback) {
  if (!request.has(name)) {
    return fallback;
  }
  const std::string text = request.get(name);
  std::int64_t number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc{} && stop == text.data() + text.size();
  if (!whole || number < minimum || number > maximum) {
    return fail(ResultCode::kInvalidField,
                std::string(name) + " is \"" + text + "\"; a whole number from " +
                    std::to_string(minimum) + " to " + std::to_string(maximum) + " is expected",
                name);
  }
  return number;
}

bool is_plain_name(const std::string& text) {
  return !text.empty() && text.size() <= kMaximumNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

Result<std::string> name_header(const Poco::Net::HTTPServerRequest& request, const char* name,
                                const std::string& fallback) {
  const std::string text = request.get(name, fallback);
  if (request.has(name) && !is_plain_name(text)) {
    return fail(ResultCode::kInvalidField,
                std::string(name) + " must be 1 to 128 printable ASCII characters without spaces",
                name);
  }
  return text;
}

std::string new_request_id(RequestNumber number) {
  static const std::uint64_t run =
      hash64(std::to_string(unix_now()),
             static_cast<std::uint64_t>(monotonic_now().time_since_epoch().count()));
  return "req-" + hash128_hex(std::to_string(run) + "-" + std::to_string(number)).substr(0, 20);
}

std::chrono::milliseconds time_until(TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - monotonic_now());
  return std::max(left, std::chrono::milliseconds(1));
}

}  // namespace

std::string tenant_of(const Poco::Net::HTTPServerRequest& request) {
  return request.get(kTenantHeader, request.get("OpenAI-Organization", kDefaultTenant));
}

OnlineHandler::OnlineHandler(ControlLoop& control, OnlineCalls& calls, PeerRequests& peers,
                             LatencyRecorder& latencies, std::size_t maximum_body_bytes,
                             BodyBudget& bodies)
    : control_(control),
      calls_(calls),
      peers_(peers),
      latencies_(latencies),
      maximum_body_bytes_(maximum_body_bytes),
      bodies_(bodies),
      sessions_(std::chrono::milliseconds(kMaximumDeadlineMs)) {}

void OnlineHandler::handle(CompletionKind kind, Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  BodyReservation reservation(bodies_);
  Exchange exchange(kind, monotonic_now(), response);
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(exchange.body, read_request_body(request, maximum_body_bytes_, reservation));
    BOOST_LEAF_ASSIGN(exchange.completion, parse_completion_request(exchange.body, kind));
    BOOST_LEAF_CHECK(read_headers(request, exchange));
    return {};
  });
  if (error) {
    send_error(response, *error);
    return;
  }
  serve(exchange);
}

Result<void> OnlineHandler::read_headers(const Poco::Net::HTTPServerRequest& request,
                                         Exchange& exchange) {
  const int default_deadline = control_.call([](NodeController& controller, TimePoint) {
    return controller.configuration().config()->limits.default_deadline_ms;
  });
  BOOST_LEAF_AUTO(
      deadline, integer_header(request, kDeadlineHeader, 1, kMaximumDeadlineMs, default_deadline));
  BOOST_LEAF_AUTO(priority, integer_header(request, kPriorityLimitHeader, 0, 100, 100));
  BOOST_LEAF_AUTO(key, name_header(request, kIdempotencyHeader, ""));
  BOOST_LEAF_ASSIGN(exchange.request_id, name_header(request, kRequestIdHeader, ""));
  const std::string tenant = tenant_of(request);
  if (!is_plain_name(tenant)) {
    return fail(ResultCode::kInvalidField, "the tenant must be 1 to 128 printable characters",
                kTenantHeader);
  }
  const std::string repeatable = request.get(kRepeatableHeader, "yes");
  if (repeatable != "yes" && repeatable != "no") {
    return fail(
        ResultCode::kInvalidField,
        std::string(kRepeatableHeader) + " is \"" + repeatable + "\"; yes or no is expected",
        kRepeatableHeader);
  }
  exchange.priority_limit = static_cast<int>(priority);
  OnlineRequest& online = exchange.online;
  online.service = exchange.completion.model;
  online.tenant = tenant;
  online.prefix_key = exchange.completion.prefix_key;
  online.estimated_tokens = exchange.completion.estimated_tokens;
  online.repeatable = repeatable == "yes";
  online.deadline = exchange.arrived + std::chrono::milliseconds(deadline);
  if (!online.repeatable && !key.empty()) {
    exchange.attempt_key = hash128_hex(tenant + "\n" + key);
  }
  return {};
}

void OnlineHandler::serve(Exchange& exchange) {
  OnlineCalls::Registration registration(calls_);
  const RequestNumber number = registration.number();
  exchange.online.number = number;
  if (exchange.request_id.empty()) {
    exchange.request_id = new_request_id(number);
  }
  exchange.response.set(kRequestIdHeader, exchange.request_id);
  const AttemptTicket ticket{exchange.attempt_key, new_request_id(number)};
  if (!ticket.key.empty()) {
    const std::optional<Error> error =
        error_of([&] { return peers_.record_online_attempt(ticket); });
    if (error) {
      send_error(exchange.response, *error);
      return;
    }
  }
  control_.post([online = exchange.online](NodeController& controller, TimePoint now) {
    controller.submit_online(online, now);
  });
  while (true) {
    OnlineCommand command = registration.call().wait();
    if (const Error* error = std::get_if<Error>(&command)) {
      if (!ticket.key.empty() && error->run == RunState::kNotRun) {
        peers_.withdraw_online_attempt(ticket);
      }
      end_with_error(exchange, *error);
      return;
    }
    const AttemptEnd end = run_attempt(exchange, std::get<AttemptCommand>(command));
    control_.post([number, end](NodeController& controller, TimePoint now) {
      controller.online_attempt_ended(number, end, now);
    });
    if (end == AttemptEnd::kCompleted || end == AttemptEnd::kCallerGone) {
      latencies_.whole_answer(monotonic_now() - exchange.arrived);
      return;
    }
  }
}

void OnlineHandler::end_with_error(Exchange& exchange, const Error& error) {
  spdlog::info("online: A request ended with an error; request_id={} code={} run={} attempts={}",
               exchange.request_id, describe(error.code).name, to_string(error.run),
               exchange.attempts);
  if (exchange.out == nullptr) {
    send_error(exchange.response, error);
    return;
  }
  // The head has already been sent: the error is sent as the last event, without `[DONE]`.
  *exchange.out << "data: " << error_json(error) << "\n\n" << std::flush;
}

AttemptEnd OnlineHandler::run_attempt(Exchange& exchange, const AttemptCommand& command) {
  ++exchange.attempts;
  const std::string attempt_id = exchange.request_id + "-" + exchange.online.tenant + "-" +
                                 std::to_string(exchange.online.number) + "-a" +
                                 std::to_string(exchange.attempts);
  spdlog::debug("online: An attempt starts; request_id={} engine={} attempt={}",
                exchange.request_id, command.engine.name, exchange.attempts);
  HttpExchange request;
  request.address = command.engine.address;
  request.method = "POST";
  request.path = exchange.kind == CompletionKind::kChat ? kChatPath : kTextPath;
  request.body = exchange.body;
  request.timeout = time_until(exchange.online.deadline);
  request.headers = {
      {kPriorityClassHeader, "online"},
      {kPriorityHeader, std::to_string(std::min(command.priority, exchange.priority_limit))}};
  exchange.response.set("x-dockpoint-engine", command.engine.name);
  exchange.response.set("x-dockpoint-attempts", std::to_string(exchange.attempts));
  AttemptEnd end = exchange.completion.stream ? run_stream(exchange, request, attempt_id)
                                              : run_unary(exchange, request, attempt_id);
  const bool lost = end == AttemptEnd::kUnknown || end == AttemptEnd::kInterrupted;
  if (lost && monotonic_now() >= exchange.online.deadline) {
    end = AttemptEnd::kDeadline;
  }
  if (end == AttemptEnd::kDeadline || end == AttemptEnd::kCallerGone || lost) {
    cancel_on_engine(request.address, attempt_id);
  }
  return end;
}

AttemptEnd OnlineHandler::run_unary(Exchange& exchange, const HttpExchange& request,
                                    const std::string& attempt_id) {
  HttpExchange whole = request;
  whole.headers.emplace_back(kRequestIdHeader, attempt_id);
  const HttpOutcome outcome = dockpoint::exchange(sessions_, whole);
  if (!outcome.answer) {
    return outcome.failure.sent ? AttemptEnd::kUnknown : AttemptEnd::kNotSent;
  }
  return deliver_answer(exchange, *outcome.answer, attempt_id);
}

AttemptEnd OnlineHandler::deliver_answer(Exchange& exchange, const HttpAnswer& answer,
                                         const std::string& attempt_id) {
  switch (classify_answer(answer, attempt_id)) {
    case EngineAnswer::kNotRun:
      return AttemptEnd::kRefused;
    case EngineAnswer::kUnknown:
      return AttemptEnd::kUnknown;
    case EngineAnswer::kFinal:
      break;
  }
  latencies_.first_token(monotonic_now() - exchange.arrived);
  try {
    send_json(exchange.response, answer.status, answer.body);
  } catch (const Poco::Exception&) {
    return AttemptEnd::kCallerGone;
  }
  return AttemptEnd::kCompleted;
}

AttemptEnd OnlineHandler::run_stream(Exchange& exchange, const HttpExchange& request,
                                     const std::string& attempt_id) {
  EngineStream stream(sessions_, request.address);
  switch (stream.open(request, attempt_id)) {
    case EngineStream::Status::kNotSent:
      return AttemptEnd::kNotSent;
    case EngineStream::Status::kAnswered:
      return deliver_answer(exchange, stream.answer(), attempt_id);
    case EngineStream::Status::kOk:
      break;
    case EngineStream::Status::kEnd:
    case EngineStream::Status::kBroken:
      return resume(exchange, request, attempt_id);
  }
  const AttemptEnd end = forward_events(exchange, stream);
  return end == AttemptEnd::kInterrupted ? resume(exchange, request, attempt_id) : end;
}

AttemptEnd OnlineHandler::forward_events(Exchange& exchange, EngineStream& stream) {
  std::string data;
  while (true) {
    const EngineStream::Status status = stream.next(data);
    if (status == EngineStream::Status::kBroken) {
      return AttemptEnd::kInterrupted;
    }
    if (exchange.out == nullptr) {
      exchange.response.setContentType("text/event-stream");
      exchange.response.set("Cache-Control", "no-cache");
      exchange.response.setChunkedTransferEncoding(true);
      exchange.out = &exchange.response.send();
      exchange.first_token = monotonic_now();
      latencies_.first_token(exchange.first_token - exchange.arrived);
    }
    *exchange.out << "data: " << data << "\n\n" << std::flush;
    if (!exchange.out->good()) {
      return AttemptEnd::kCallerGone;
    }
    if (status == EngineStream::Status::kEnd) {
      stream.close();
      return AttemptEnd::kCompleted;
    }
    ++exchange.events_delivered;
    if (monotonic_now() >= exchange.online.deadline) {
      return AttemptEnd::kDeadline;
    }
  }
}

AttemptEnd OnlineHandler::resume(Exchange& exchange, const HttpExchange& request,
                                 const std::string& attempt_id) {
  for (int attempt = 0; attempt < kResumeAttempts; ++attempt) {
    if (monotonic_now() >= exchange.online.deadline) {
      return AttemptEnd::kDeadline;
    }
    HttpExchange resume_request = request;
    resume_request.timeout = time_until(exchange.online.deadline);
    resume_request.headers.emplace_back(kResumeHeader, std::to_string(exchange.events_delivered));
    EngineStream stream(sessions_, request.address);
    const EngineStream::Status status = stream.open(resume_request, attempt_id);
    if (status == EngineStream::Status::kAnswered) {
      break;  // The engine no longer has the stream.
    }
    if (status == EngineStream::Status::kOk) {
      spdlog::info("online: A stream is resumed; request_id={} from={}", exchange.request_id,
                   exchange.events_delivered);
      const AttemptEnd end = forward_events(exchange, stream);
      if (end != AttemptEnd::kInterrupted) {
        return end;
      }
    }
    std::this_thread::sleep_for(kResumeDelay);
  }
  return exchange.out == nullptr ? AttemptEnd::kUnknown : AttemptEnd::kInterrupted;
}

void OnlineHandler::cancel_on_engine(const std::string& address, const std::string& attempt_id) {
  HttpExchange request;
  request.address = address;
  request.method = "POST";
  request.path = "/cancel?id=" + attempt_id;
  request.timeout = kRequestCancelTimeout;
  exchange(sessions_, request);
}

}  // namespace dockpoint
