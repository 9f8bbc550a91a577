#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <string>

#include "net/http_parser.hpp"

namespace dockpoint {

/// Checks the heads of an answer, provisional ones and the final one, as their bytes arrive. Poco
/// accepts heads that are not valid HTTP, and reads another framing from them than was sent.
class AnswerHeadCheck {
 public:
  /// Maximum size of all heads of an answer, in bytes.
  static constexpr std::size_t kMaximumBytes = 256 * 1024;

  /// Begins the next answer.
  void begin();
  /// Takes received bytes; those after the final head are ignored.
  /// @throws Poco::Net::MessageException if they are not valid HTTP.
  void take(std::string_view bytes);

 private:
  void begin_head();

  std::unique_ptr<net::ResponseParser> parser_;  ///< Null after the final head.
  std::string input_;
  std::size_t received_bytes_ = 0;
};

/// HTTP client session whose answers' heads are checked. Provisional answers are skipped.
class CheckedHttpSession : public Poco::Net::HTTPClientSession {
 public:
  CheckedHttpSession(const std::string& host, std::uint16_t port);

  std::ostream& sendRequest(Poco::Net::HTTPRequest& request) override;
  std::istream& receiveResponse(Poco::Net::HTTPResponse& response) override;

 private:
  const std::shared_ptr<AnswerHeadCheck> check_;
};

}  // namespace dockpoint
