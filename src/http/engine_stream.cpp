#include "http/engine_stream.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <spdlog/spdlog.h>

#include "dockpoint/streaming/event_framer.hpp"
#include "http/answer_body.hpp"
#include "http/engine_protocol.hpp"

namespace dockpoint {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

/// Maximum size of what follows the last event, in bytes.
constexpr std::size_t kMaximumRestBytes = 64 * 1024;

constexpr int kEndOfInput = std::istream::traits_type::eof();

}  // namespace

EngineStream::EngineStream(HttpSessionPool& sessions, std::string address)
    : sessions_(sessions), address_(std::move(address)) {}

EngineStream::Status EngineStream::open(const HttpExchange& request,
                                        const std::string& request_id) {
  session_ = sessions_.acquire(address_);
  bool sent = false;
  try {
    session_->setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(request.timeout).count()));
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.setContentType(request.content_type);
    head.setContentLength(static_cast<std::streamsize>(request.body.size()));
    head.set(kRequestIdHeader, request_id);
    for (const auto& [name, value] : request.headers) {
      head.set(name, value);
    }
    std::ostream& out = session_->sendRequest(head);
    sent = true;
    out << request.body << std::flush;
    session_->socket().setNoDelay(true);
    Poco::Net::HTTPResponse response;
    in_ = &session_->receiveResponse(response);
    if (response.get(kRequestIdHeader, request_id) != request_id) {
      return Status::kBroken;
    }
    answer_.status = response.getStatus();
    if (response.getContentType() == "text/event-stream") {
      return Status::kOk;
    }
    answer_.reservation = std::make_shared<BodyReservation>(sessions_.answers());
    std::optional<std::string> body = read_whole_body(
        *session_, response, *in_, request.maximum_answer_bytes, *answer_.reservation);
    if (!body) {
      return Status::kBroken;
    }
    answer_.body = *std::move(body);
    return Status::kAnswered;
  } catch (const Poco::Exception&) {
    return sent ? Status::kBroken : Status::kNotSent;
  }
}

EngineStream::Status EngineStream::next(std::string& data) {
  try {
    std::size_t bytes_left = kMaxBytesWithoutEvent;
    for (std::string line; read_line(line, bytes_left);) {
      if (!line.starts_with(kDataPrefix)) {
        continue;
      }
      data = line.substr(kDataPrefix.size());
      return data == kDone ? Status::kEnd : Status::kOk;
    }
    if (bytes_left == 0) {
      spdlog::warn("http: A stream has no event within its limit; engine={} limitBytes={}",
                   address_, kMaxBytesWithoutEvent);
    }
  } catch (const Poco::Exception&) {
    // Reported as broken below.
  }
  return Status::kBroken;
}

bool EngineStream::read_line(std::string& line, std::size_t& bytes_left) {
  line.clear();
  for (; bytes_left > 0; --bytes_left) {
    const int letter = in_->rdbuf()->sbumpc();
    if (letter == kEndOfInput) {
      return false;  // The last line has no end.
    }
    if (letter == '\n') {
      return true;
    }
    line += static_cast<char>(letter);
  }
  return false;
}

void EngineStream::close() {
  try {
    if (in_ != nullptr && skip_rest()) {
      sessions_.release(address_, std::move(session_));
    }
  } catch (const Poco::Exception&) {
    // The connection is closed below.
  }
  session_.reset();
}

bool EngineStream::skip_rest() {
  for (std::size_t skipped = 0; skipped <= kMaximumRestBytes; ++skipped) {
    if (in_->rdbuf()->sbumpc() == kEndOfInput) {
      return true;
    }
  }
  spdlog::warn("http: Bytes without end follow the last event; engine={}", address_);
  return false;
}

}  // namespace dockpoint
