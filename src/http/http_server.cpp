#include "http/http_server.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <istream>
#include <limits>

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumDiscardedBytes = 64 * 1024 * 1024;

/// Maximum time until a body is complete.
constexpr std::chrono::seconds kBodyTime(30);

/// Time for which a body that found no room is read and discarded.
constexpr std::chrono::seconds kDiscardTime(2);

/// Maximum time without a byte from a client that sends a request or reads an answer, in seconds.
constexpr int kReceiveTimeoutSeconds = 30;

/// Makes room in `body` for `needed` bytes of at most `limit`.
bool reserve(std::string& body, std::size_t needed, std::size_t limit,
             BodyReservation& reservation) {
  if (needed <= body.capacity()) {
    return true;
  }
  const std::size_t capacity = std::max(needed, std::min(limit, 2 * body.capacity()));
  if (!reservation.grow_to(capacity)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

void shorten_receive_timeout(Poco::Net::HTTPServerRequest& request) {
  auto& socket = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  socket.setReceiveTimeout(Poco::Timespan(kDiscardTime.count(), 0));
}

/// Makes room for a body whose length is announced.
/// @return false if there is none; true also if the length is not announced or over the limit.
bool reserve_announced(const Poco::Net::HTTPServerRequest& request, std::size_t limit,
                       std::string& body, BodyReservation& reservation) {
  const auto length = request.getContentLength64();
  const bool usable = length > 0 && static_cast<std::uint64_t>(length) <= limit;
  return !usable || reserve(body, static_cast<std::size_t>(length), limit, reservation);
}

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const HttpHandler& handler) : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().setNoDelay(true);
    try {
      handler_(request, response);
    } catch (const std::exception& exception) {
      spdlog::error("http: A handler failed; uri={} reason={}", request.getURI(), exception.what());
      if (!response.sent()) {
        send_error(
            response,
            Error{ResultCode::kInternal, "a fault in dockpoint", {}, RunState::kUnknown, {}});
      }
    }
  }

 private:
  const HttpHandler& handler_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(HttpHandler handler) : handler_(std::move(handler)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new FunctionHandler(handler_);
  }

 private:
  const HttpHandler handler_;
};

Poco::Net::HTTPServerParams::Ptr make_parameters(const HttpServerOptions& options) {
  constexpr int kRequestsPerConnection = 1'000'000;
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(options.threads);
  parameters->setMaxQueued(options.queued);
  parameters->setKeepAlive(true);
  parameters->setTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
  parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
  parameters->setMaxKeepAliveRequests(kRequestsPerConnection);
  return parameters;
}

}  // namespace

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : threads_(2, options.threads + 1) {
  constexpr int kBacklog = 512;
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(options.address), true);
  socket.listen(kBacklog);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(std::move(handler)),
                                                    threads_, socket, make_parameters(options));
}

HttpServer::~HttpServer() {
  stop();
}

void HttpServer::start() {
  server_->start();
}

void HttpServer::stop_accepting() {
  server_->stop();
}

void HttpServer::stop() {
  server_->stopAll(true);
  threads_.joinAll();
}

std::string path_of(const std::string& uri) {
  return uri.substr(0, uri.find('?'));
}

std::string query_parameter(const std::string& uri, const std::string& name) {
  try {
    for (const auto& [key, value] : Poco::URI(uri).getQueryParameters()) {
      if (key == name) {
        return value;
      }
    }
  } catch (const Poco::Exception&) {
    // A malformed query is treated as having no parameters.
  }
  return {};
}

bool split_prefix(const std::string& path, const std::string& prefix, std::string& rest) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  rest = path.substr(prefix.size());
  return true;
}

Result<std::string> read_request_body(Poco::Net::HTTPServerRequest& request, std::size_t limit) {
  BodyBudget unlimited(std::numeric_limits<std::uint64_t>::max());
  BodyReservation reservation(unlimited);
  return read_request_body(request, limit, reservation);
}

Result<std::string> read_request_body(Poco::Net::HTTPServerRequest& request, std::size_t limit,
                                      BodyReservation& reservation) {
  std::string body;
  std::size_t received = 0;
  std::array<char, 16 * 1024> buffer{};
  std::istream& in = request.stream();
  auto deadline = std::chrono::steady_clock::now() + kBodyTime;
  bool fits = reserve_announced(request, limit, body, reservation);
  // Part of a body that is refused is read and discarded, so that its sender can receive the
  // response.
  while (received <= limit + kMaximumDiscardedBytes) {
    if (!fits) {
      shorten_receive_timeout(request);
      deadline = std::min(deadline, std::chrono::steady_clock::now() + kDiscardTime);
    }
    // Waits for some bytes; `read` would wait until the buffer is full.
    if (in.peek() == std::istream::traits_type::eof()) {
      break;
    }
    const auto count = static_cast<std::size_t>(in.readsome(buffer.data(), buffer.size()));
    received += count;
    fits = fits && (received > limit || reserve(body, received, limit, reservation));
    if (fits && received <= limit) {
      body.append(buffer.data(), count);
    } else {
      std::string().swap(body);
    }
    if (std::chrono::steady_clock::now() > deadline) {
      request.response().setKeepAlive(false);
      break;
    }
  }
  if (received > limit) {
    return fail(ResultCode::kBodyTooLarge,
                "the body is over the limit of " + std::to_string(limit) + " bytes");
  }
  if (!fits) {
    request.response().setKeepAlive(false);
    return fail(Error{ResultCode::kOverloaded,
                      "this node holds too many bytes of requests",
                      {},
                      RunState::kNotRun,
                      std::chrono::seconds(1)});
  }
  if (in.bad()) {
    return fail(ResultCode::kMalformedBody, "the connection failed before the body was complete");
  }
  if (!in.eof()) {
    return fail(ResultCode::kDeadlineExceeded,
                "the body did not arrive within " + std::to_string(kBodyTime.count()) + " s");
  }
  return body;
}

void send_json(Poco::Net::HTTPServerResponse& response, int status, const std::string& json) {
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  send_bytes(response, "application/json", json);
}

void send_bytes(Poco::Net::HTTPServerResponse& response, const std::string& content_type,
                const std::string& bytes) {
  response.setContentType(content_type);
  response.sendBuffer(bytes.data(), bytes.size());
}

std::string error_json(const Error& error) {
  const ResultCodeInfo& info = describe(error.code);
  Poco::JSON::Object::Ptr detail = new Poco::JSON::Object;
  detail->set("message", error.message);
  detail->set("type", info.http_status < 500 ? "invalid_request_error" : "server_error");
  detail->set("code", std::string(info.name));
  if (!error.place.empty()) {
    detail->set("param", error.place);
  }
  detail->set("result_code", static_cast<int>(error.code));
  detail->set("run", std::string(to_string(error.run)));
  if (error.retry_after.count() > 0) {
    detail->set("retry_after", static_cast<std::int64_t>(error.retry_after.count()));
  }
  Poco::JSON::Object body;
  body.set("error", detail);
  return to_json(body);
}

void send_error(Poco::Net::HTTPServerResponse& response, const Error& error) {
  if (error.retry_after.count() > 0) {
    response.set("Retry-After", std::to_string(error.retry_after.count()));
  }
  response.set("x-dockpoint-run", std::string(to_string(error.run)));
  send_json(response, describe(error.code).http_status, error_json(error));
}

}  // namespace dockpoint
