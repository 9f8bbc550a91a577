#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/error.hpp"
#include "http/body_budget.hpp"

namespace dockpoint {

/// Pool of idle persistent connections, keyed by address. Thread-safe.
class HttpSessionPool {
 public:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

  explicit HttpSessionPool(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /// @param address `IP:port`.
  /// @return an idle connection, or a new one that connects on its first request.
  Session acquire(const std::string& address);

  /// Returns a connection to the pool after its response was read completely.
  void release(const std::string& address, Session session);

  /// @return the budget of the answers that are held in memory.
  BodyBudget& answers() { return answers_; }

 private:
  /// Maximum size of all answers together, in bytes: that of the largest single one.
  static constexpr std::uint64_t kAnswersBytes = 64 * 1024 * 1024;

  const std::chrono::milliseconds timeout_;
  BodyBudget answers_{kAnswersBytes};
  std::mutex mutex_;
  std::unordered_map<std::string, std::vector<Session>> idle_;
};

/// A response with its complete body in memory.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::string request_id;  ///< `x-request-id` of the response; empty if absent.
  /// What the body holds of the pool's budget.
  std::shared_ptr<BodyReservation> reservation{};
};

/// Failure of an exchange.
struct HttpFailure {
  bool sent = false;  ///< Whether the server may have received the request.
  std::string reason;
};

/// Request for an exchange with fully buffered bodies over a pooled connection.
struct HttpExchange {
  std::string address;
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::chrono::milliseconds timeout{5000};
  std::size_t maximum_answer_bytes = 64 * 1024 * 1024;
};

/// Result of an exchange: a response or a failure.
struct HttpOutcome {
  std::optional<HttpAnswer> answer;
  HttpFailure failure;
};

/// Performs the exchange; blocks until it has completed or failed.
HttpOutcome exchange(HttpSessionPool& pool, const HttpExchange& request);

}  // namespace dockpoint
