#pragma once

#include <istream>
#include <string>

#include "http/http_session.hpp"

namespace dockpoint {

/// A streaming request to an engine, from sending the request to the last event.
class EngineStream {
 public:
  /// Result of opening or reading the stream.
  enum class Status {
    kOk,
    kNotSent,   ///< No connection could be made.
    kAnswered,  ///< The engine sent a response that is not an event stream; see `answer`.
    kEnd,       ///< The stream is complete.
    kBroken,    ///< Connection failure, timeout, or a response to another request.
  };

  EngineStream(HttpSessionPool& sessions, std::string address);

  /// Sends the request and reads the response head.
  Status open(const HttpExchange& request, const std::string& request_id);

  /// Reads the data of the next event into `data`. A stream that has none within
  /// `kMaxBytesWithoutEvent` is broken.
  Status next(std::string& data);

  /// Reads the rest of the response and returns the connection to the pool, or closes it if the
  /// rest does not end.
  void close();

  const HttpAnswer& answer() const { return answer_; }

 private:
  /// Reads a line without its end.
  /// @param bytes_left how many bytes may be read still; those that were are taken off.
  /// @return whether the line is complete.
  bool read_line(std::string& line, std::size_t& bytes_left);
  /// Reads what follows the last event. @return whether the response has ended.
  bool skip_rest();

  HttpSessionPool& sessions_;
  const std::string address_;
  HttpSessionPool::Session session_;
  std::istream* in_ = nullptr;
  HttpAnswer answer_;
};

}  // namespace dockpoint
