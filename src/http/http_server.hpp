#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

#include "dockpoint/core/error.hpp"
#include "http/body_budget.hpp"

namespace dockpoint {

using HttpHandler =
    std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

struct HttpServerOptions {
  std::string address;  ///< `IP:port`.
  int threads = 512;    ///< Maximum concurrent connections; one thread each.
  int queued = 256;     ///< Maximum number of connections waiting for a thread.
};

/// Thread-per-connection HTTP server that passes all requests to one handler.
class HttpServer {
 public:
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();

  void start();
  /// Stops accepting connections; requests in progress continue.
  void stop_accepting();
  /// Closes all connections.
  void stop();

 private:
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// @return the path of a URI without its query: `/a/b` for `/a/b?c=d`.
std::string path_of(const std::string& uri);

/// @return the value of a query parameter, or an empty string.
std::string query_parameter(const std::string& uri, const std::string& name);

/// @return whether `path` starts with `prefix`; if so, `rest` is set to the remainder.
bool split_prefix(const std::string& path, const std::string& prefix, std::string& rest);

/// Reads a complete body of at most `limit` bytes, within a limit on its time.
Result<std::string> read_request_body(Poco::Net::HTTPServerRequest& request, std::size_t limit);

/// The same, within what the requests of all threads may hold.
/// @param reservation grows with the body; it must live as long as the body is used.
Result<std::string> read_request_body(Poco::Net::HTTPServerRequest& request, std::size_t limit,
                                      BodyReservation& reservation);

void send_json(Poco::Net::HTTPServerResponse& response, int status, const std::string& json);

void send_bytes(Poco::Net::HTTPServerResponse& response, const std::string& content_type,
                const std::string& bytes);

/// @return an error body in the format of the OpenAI API, extended by dockpoint's fields:
/// `{"error":{"message","type","code","param","result_code","run","retry_after"}}`.
std::string error_json(const Error& error);

void send_error(Poco::Net::HTTPServerResponse& response, const Error& error);

}  // namespace dockpoint
