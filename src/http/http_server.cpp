#include "http/http_server.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <spdlog/spdlog.h>

#include <array>
#include <istream>

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumDiscardedBytes = 64 * 1024 * 1024;

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
  std::string body;
  std::size_t received = 0;
  std::array<char, 16 * 1024> buffer{};
  std::istream& in = request.stream();
  // Part of an oversized body is read and discarded, so that its sender can receive the response.
  while (in && received <= limit + kMaximumDiscardedBytes) {
    in.read(buffer.data(), buffer.size());
    const auto count = static_cast<std::size_t>(in.gcount());
    received += count;
    if (received <= limit) {
      body.append(buffer.data(), count);
    }
  }
  if (received > limit) {
    return fail(ResultCode::kBodyTooLarge,
                "the body is over the limit of " + std::to_string(limit) + " bytes");
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
