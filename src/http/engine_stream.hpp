#pragma once

#include <istream>
#include <string>

#include "http/http_session.hpp"

namespace dockpoint {

/// One streamed request to an engine, from sending it to its last event.
class EngineStream {
 public:
  /// How opening or reading went.
  enum class Status {
    kOk,
    kNotSent,   ///< No connection could be made.
    kAnswered,  ///< The engine answered with something other than a stream; see `answer`.
    kEnd,       ///< The stream is complete.
    kBroken,    ///< The connection broke, timed out or carries another request's answer.
  };

  EngineStream(HttpSessionPool& sessions, std::string address);

  /// Sends the request and reads the head of the answer.
  Status open(const HttpExchange& request, const std::string& request_id);

  /// Reads the next event's data into `data`.
  Status next(std::string& data);

  /// Gives the connection back if it was read to its end.
  void close();

  const HttpAnswer& answer() const { return answer_; }

 private:
  HttpSessionPool& sessions_;
  const std::string address_;
  HttpSessionPool::Session session_;
  std::istream* in_ = nullptr;
  HttpAnswer answer_;
};

}  // namespace dockpoint
