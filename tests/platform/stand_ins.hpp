#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_context.hpp"
#include "gateway/online_proxy.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "platform/traffic.hpp"

/// Stand-ins for replicas and callers in gateway tests, on loopback and one event loop.
namespace dockpoint::test {

/// An HTTP server in place of a replica; the test's handler answers the requests. It answers health
/// checks itself and does not count them as requests.
class StandInReplica {
 public:
  using Handler = std::function<void(const net::ExchangePtr&)>;

  StandInReplica(boost::asio::io_context& loop, std::string id, std::uint16_t port, Handler handler)
      : id_(std::move(id)), port_(port), handler_(std::move(handler)), loop_(loop) {
    listen();
  }

  /// Simulates a crash of the replica's process: closes the server in the next loop iteration.
  void crash() {
    boost::asio::post(loop_, [this] { server_.reset(); });
  }
  /// Simulates a crash after which another process, under another name, has the address at once.
  void restart_as(const std::string& id) {
    boost::asio::post(loop_, [this, id] {
      server_.reset();
      id_ = id;
      listen();
    });
  }
  /// Another process has taken the address, under another name; the test ends the connections.
  void rename(const std::string& id) { id_ = id; }
  bool running() const { return server_.has_value(); }

  ReplicaRecord record(const std::string& service) const {
    return {id_, service, {"127.0.0.1", port_}, "zone-a", 4, false, {}};
  }
  int requests() const { return requests_; }
  const net::RequestHead& last() const { return last_; }

 private:
  void listen() {
    server_.emplace(loop_, [this](const net::ExchangePtr& exchange) { serve(exchange); });
    server_->listen("127.0.0.1:" + std::to_string(port_));
  }
  void serve(const net::ExchangePtr& exchange) {
    if (exchange->request().target == "/healthz") {
      const bool asked_for = exchange->request().headers.get("Target-Instance") == id_;
      exchange->respond(asked_for ? 200 : 421, {{"Instance-Id", id_}}, {});
      return;
    }
    ++requests_;
    last_ = exchange->request();
    handler_(exchange);
  }

  std::string id_;
  const std::uint16_t port_;
  Handler handler_;
  int requests_ = 0;
  net::RequestHead last_;
  boost::asio::io_context& loop_;
  std::optional<net::HttpServer> server_;
};

/// @return headers that identify an answer to `exchange` as sent by a replica.
inline net::Headers genuine_headers(const net::ExchangePtr& exchange) {
  return {{"Attempt-Id", std::string(exchange->request().headers.get("Attempt-Id"))},
          {"Response-Signature", "signed"}};
}

/// An online proxy with its dependencies, behind an HTTP server.
class ProxyFixture {
 public:
  explicit ProxyFixture(std::uint16_t port)
      : selector_(knobs_, directory, "zone-a", 1),
        context_{loop,      knobs_,    protocol_, client,
                 directory, selector_, metrics_,  std::make_shared<RoutingConfiguration>(),
                 "node"},
        proxy_(context_, 0),
        port_(port),
        frontend_(loop, [this](const net::ExchangePtr& exchange) {
          proxy_.handle(exchange, configuration_, configuration_->routes.front(), tenant);
        }) {
    frontend_.listen("127.0.0.1:" + std::to_string(port));
  }

  Knobs& knobs() { return knobs_; }
  RouteConfig& route() {
    configuration_->routes.resize(1);
    RouteConfig& route = configuration_->routes.front();
    route.name = "route";
    route.services = {{"lm", 1}};
    route.timeout = std::chrono::seconds(5);
    route.target = std::chrono::milliseconds(200);
    return route;
  }

  /// Sends a request and runs the loop until the call completes.
  net::SimpleCall::Outcome send_request(net::Headers headers = {}) {
    headers.add("Host", "a.example");
    headers.add("Attempt-Id", "request-1");
    headers.add("Content-Length", "2");
    std::optional<net::SimpleCall::Outcome> result;
    const net::RequestHead head{"POST", "/x/1", headers};
    net::SimpleCall::start(client, loop, {{"127.0.0.1", port_}, "front"},
                           net::serialize(head) + "hi", {}, std::chrono::seconds(4),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }

  /// Runs the loop and the timeout checks of proxy and client until `done` returns true.
  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      loop.run_one_for(std::chrono::milliseconds(10));
      const TimePoint now = TimePoint(std::chrono::duration_cast<Duration>(
          std::chrono::steady_clock::now().time_since_epoch()));
      proxy_.tick(now);
      client.tick(now);
    }
  }

  std::size_t in_flight() const { return proxy_.in_flight(); }

 private:
  Knobs knobs_;

 public:
  boost::asio::io_context loop{1};
  net::HttpClient client{loop};
  ReplicaDirectory directory{knobs_};
  const Tenant* tenant = nullptr;  ///< Tenant of all requests, or null.

  /// Configures the path of the health checks of a service's replicas.
  void set_health_path(const std::string& service, const std::string& path) {
    RoutingConfiguration configuration = *context_.configuration;
    configuration.services[service].health_path = path;
    context_.configuration = std::make_shared<RoutingConfiguration>(std::move(configuration));
  }
  /// Enables rate limiting of tenants with `limiter` (borrowed).
  void limit_rate(TenantRateLimiter& limiter) { context_.rate_limiter = &limiter; }

 private:
  platform::PlatformTraffic protocol_;
  GatewayMetrics metrics_;
  ReplicaSelector selector_;
  GatewayContext context_;
  std::shared_ptr<RoutingConfiguration> configuration_ = std::make_shared<RoutingConfiguration>();
  OnlineProxy proxy_;
  const std::uint16_t port_;
  net::HttpServer frontend_;
};

}  // namespace dockpoint::test
