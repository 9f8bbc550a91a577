#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Keeps idle connections by address, so that requests need not connect anew. Thread-safe.
class HttpSessionPool {
 public:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

  explicit HttpSessionPool(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /// @param address `IP:port`.
  /// @return an idle connection, or a new one that connects at its first request.
  Session acquire(const std::string& address);

  /// Returns a connection whose answer was read to its end.
  void release(const std::string& address, Session session);

 private:
  const std::chrono::milliseconds timeout_;
  std::mutex mutex_;
  std::unordered_map<std::string, std::vector<Session>> idle_;
};

/// A short answer, held as a whole.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::string request_id;  ///< That the answer says it belongs to; empty: it does not say.
};

/// How an exchange failed.
struct HttpFailure {
  bool sent = false;  ///< Whether the other side may have received the request.
  std::string reason;
};

/// An exchange of a whole body for a whole body, over a pooled connection.
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

/// The end of an exchange: an answer, or a failure.
struct HttpOutcome {
  std::optional<HttpAnswer> answer;
  HttpFailure failure;
};

/// Performs the exchange; blocks.
HttpOutcome exchange(HttpSessionPool& pool, const HttpExchange& request);

}  // namespace dockpoint
