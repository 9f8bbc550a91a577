#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "http/body_budget.hpp"
#include "http/completion_request.hpp"
#include "http/engine_stream.hpp"
#include "http/latency_recorder.hpp"
#include "http/peer_requests.hpp"
#include "node/control_loop.hpp"
#include "node/online_calls.hpp"

namespace dockpoint {

/// Request headers that callers may set; see docs/API.md.
inline constexpr const char* kDeadlineHeader = "x-dockpoint-deadline-ms";
inline constexpr const char* kTenantHeader = "x-dockpoint-tenant";
inline constexpr const char* kRepeatableHeader = "x-dockpoint-repeatable";
inline constexpr const char* kPriorityLimitHeader = "x-dockpoint-priority";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";

/// @return the tenant of a request.
std::string tenant_of(const Poco::Net::HTTPServerRequest& request);

/// Serves the completion endpoints. Each request occupies its HTTP thread until it ends. The
/// control thread selects engines and decides on retries; this class sends requests and streams
/// responses.
class OnlineHandler {
 public:
  OnlineHandler(ControlLoop& control, OnlineCalls& calls, PeerRequests& peers,
                LatencyRecorder& latencies, std::size_t maximum_body_bytes, BodyBudget& bodies);

  void handle(CompletionKind kind, Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  /// State of a request between its caller and the engines.
  struct Exchange {
    Exchange(CompletionKind request_kind, TimePoint arrival, Poco::Net::HTTPServerResponse& answer)
        : kind(request_kind), arrived(arrival), response(answer) {}

    CompletionKind kind;
    CompletionRequest completion;
    std::string body;
    std::string request_id;
    std::string attempt_key;  ///< Key of an at-most-once request; otherwise empty.
    int priority_limit = 100;
    OnlineRequest online;
    TimePoint arrived{};
    TimePoint first_token{};
    int attempts = 0;
    int events_delivered = 0;
    std::ostream* out = nullptr;  ///< Set once the response head has been sent.
    Poco::Net::HTTPServerResponse& response;
  };

  Result<void> read_headers(const Poco::Net::HTTPServerRequest& request, Exchange& exchange);
  void serve(Exchange& exchange);
  void end_with_error(Exchange& exchange, const Error& error);
  AttemptEnd run_attempt(Exchange& exchange, const AttemptCommand& command);
  AttemptEnd run_unary(Exchange& exchange, const HttpExchange& request,
                       const std::string& attempt_id);
  AttemptEnd run_stream(Exchange& exchange, const HttpExchange& request,
                        const std::string& attempt_id);
  /// Forwards events to the caller until the stream ends or is interrupted.
  AttemptEnd forward_events(Exchange& exchange, EngineStream& stream);
  AttemptEnd resume(Exchange& exchange, const HttpExchange& request, const std::string& attempt_id);
  AttemptEnd deliver_answer(Exchange& exchange, const HttpAnswer& answer,
                            const std::string& attempt_id);
  void cancel_on_engine(const std::string& address, const std::string& attempt_id);

  ControlLoop& control_;
  OnlineCalls& calls_;
  PeerRequests& peers_;
  LatencyRecorder& latencies_;
  const std::size_t maximum_body_bytes_;
  BodyBudget& bodies_;
  HttpSessionPool sessions_;
};

}  // namespace dockpoint
