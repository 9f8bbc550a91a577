#pragma once

#include <atomic>
#include <memory>

#include "http/admin_handler.hpp"
#include "http/batch_handler.hpp"
#include "http/file_handler.hpp"
#include "http/http_server.hpp"
#include "http/online_handler.hpp"
#include "node/metrics.hpp"
#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// HTTP interface of a node: routes each request to the handler for its path. While the node is
/// draining, new work is rejected as not run and requests in progress continue.
class ApiServer : public Part {
 public:
  /// Dependencies of the handlers; not owned, must outlive the server.
  struct Dependencies {
    ControlLoop& control;
    OnlineCalls& online_calls;
    FileStore& files;
    LogClient& log;
    Metrics& metrics;
  };
  struct Options {
    HttpServerOptions server;
    std::size_t maximum_body_bytes = 0;
    std::uint64_t maximum_file_bytes = 0;
    std::uint64_t maximum_bodies_bytes = 0;  ///< Of all requests that are not complete or answered.
    std::string health_address;  ///< Also serves health checks and metrics; may be empty.
  };

  ApiServer(const Options& options, const Dependencies& dependencies);

  void run(std::stop_token stop) override;

  void begin_drain() { draining_ = true; }
  /// @return whether an operator has requested a drain through the admin interface.
  bool drain_requested() const { return drain_requested_; }
  /// @return number of requests in progress, excluding health checks and metrics.
  int requests_in_progress() const { return requests_in_progress_; }

 private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  /// Serves health checks on an address of their own: clients may hold all threads of the other
  /// one.
  /// @return null if none is set.
  std::unique_ptr<HttpServer> start_health_server();
  void handle(Request& request, Response& response);
  bool handle_online(const std::string& path, Request& request, Response& response);
  bool handle_files(const std::string& path, Request& request, Response& response);
  bool handle_batches(const std::string& path, Request& request, Response& response);
  bool handle_admin(const std::string& path, Request& request, Response& response);
  bool handle_peer(const std::string& path, Request& request, Response& response);
  bool handle_health(const std::string& path, Response& response);
  void list_models(const std::string& id, Response& response);

  const Options options_;
  const Dependencies dependencies_;
  BodyBudget bodies_;
  PeerRequests peers_;
  OnlineHandler online_;
  FileHandler files_;
  BatchHandler batches_;
  AdminHandler admin_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> drain_requested_{false};
  std::atomic<int> requests_in_progress_{0};
};

}  // namespace dockpoint
