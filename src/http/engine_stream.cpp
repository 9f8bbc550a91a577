#include "http/engine_stream.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "http/answer_body.hpp"
#include "http/engine_protocol.hpp"

namespace dockpoint {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

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
    std::optional<std::string> body =
        read_whole_body(*session_, response, *in_, request.maximum_answer_bytes);
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
    for (std::string line; std::getline(*in_, line);) {
      if (in_->eof()) {
        break;  // The last line has no end.
      }
      if (!line.starts_with(kDataPrefix)) {
        continue;
      }
      data = line.substr(kDataPrefix.size());
      return data == kDone ? Status::kEnd : Status::kOk;
    }
  } catch (const Poco::Exception&) {
    // Reported as broken below.
  }
  return Status::kBroken;
}

void EngineStream::close() {
  try {
    std::string rest;
    while (in_ != nullptr && std::getline(*in_, rest)) {
    }
    sessions_.release(address_, std::move(session_));
  } catch (const Poco::Exception&) {
    session_.reset();
  }
}

}  // namespace dockpoint
