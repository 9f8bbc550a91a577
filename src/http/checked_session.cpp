#include "http/checked_session.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <utility>

namespace dockpoint {
namespace {

/// A socket that passes what it receives through a check first.
class CheckedSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  explicit CheckedSocketImpl(std::shared_ptr<AnswerHeadCheck> check) : check_(std::move(check)) {}

  using StreamSocketImpl::receiveBytes;
  int receiveBytes(void* buffer, int length, int flags) override {
    const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (count > 0 && (flags & MSG_PEEK) == 0) {
      check_->take({static_cast<const char*>(buffer), static_cast<std::size_t>(count)});
    }
    return count;
  }

 private:
  const std::shared_ptr<AnswerHeadCheck> check_;
};

class CheckedSocket : public Poco::Net::StreamSocket {
 public:
  explicit CheckedSocket(std::shared_ptr<AnswerHeadCheck> check)
      : StreamSocket(new CheckedSocketImpl(std::move(check))) {}
};

bool is_provisional(int status) {
  return status / 100 == 1;
}

}  // namespace

void AnswerHeadCheck::begin() {
  input_.clear();
  received_bytes_ = 0;
  begin_head();
}

void AnswerHeadCheck::begin_head() {
  parser_ = std::make_unique<net::ResponseParser>([](const net::ResponseHead&) {},
                                                  [](std::string_view) {});
}

void AnswerHeadCheck::take(std::string_view bytes) {
  if (!parser_) {
    return;
  }
  received_bytes_ += bytes.size();
  input_.append(bytes);
  while (parser_ && !input_.empty()) {
    const net::ParseStatus status = parser_->feed(input_);
    if (const auto fault = parser_->fault()) {
      throw Poco::Net::MessageException("the answer's head is malformed",
                                        std::string(net::to_string(*fault)));
    }
    if (!parser_->has_head()) {
      break;
    }
    if (is_provisional(parser_->head().status) && status == net::ParseStatus::kDone) {
      begin_head();
    } else {
      parser_.reset();
      input_.clear();
    }
  }
  if (parser_ && received_bytes_ > kMaximumBytes) {
    throw Poco::Net::MessageException("the answer's heads are too long");
  }
}

CheckedHttpSession::CheckedHttpSession(const std::string& host, std::uint16_t port)
    : HTTPClientSession(host, port), check_(std::make_shared<AnswerHeadCheck>()) {
  attachSocket(CheckedSocket(check_));
}

std::ostream& CheckedHttpSession::sendRequest(Poco::Net::HTTPRequest& request) {
  check_->begin();
  return HTTPClientSession::sendRequest(request);
}

std::istream& CheckedHttpSession::receiveResponse(Poco::Net::HTTPResponse& response) {
  std::istream* body = &HTTPClientSession::receiveResponse(response);
  // Poco itself skips status 100 alone.
  while (is_provisional(response.getStatus())) {
    body = &HTTPClientSession::receiveResponse(response);
  }
  return *body;
}

}  // namespace dockpoint
