#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "net/http_client.hpp"
#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/wire_names.hpp"

namespace dockpoint::test {

/// A node with a job of one item, `request-1`; the test adds the replicas.
struct JobFixture {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  std::unique_ptr<GatewayNode> node;

  JobFixture() {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, route_configuration(3));
  }

  /// Registers a replica that listens on `port`.
  void add_replica(std::uint16_t port) {
    store.put(platform::kReplicasTopic, "r" + std::to_string(port),
              replica_record("127.0.0.1:" + std::to_string(port)).dump());
  }
  void start() { node = std::make_unique<GatewayNode>(loop, 1); }

  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      loop.run_one_for(std::chrono::milliseconds(5));
      store.tick();
    }
  }

  net::SimpleCall::Outcome call(const std::string& method, const std::string& target,
                                const std::string& body) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "job"},
                               {"Content-Length", std::to_string(body.size())}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(caller, loop, {*Address::parse(GatewayNode::address(1, 0)), "caller"},
                           net::serialize(net::RequestHead{method, target, headers}) + body, {},
                           std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }

  void submit() {
    const std::string job =
        R"({"requests":[{"id":"request-1","path":"/batch/1","headers":{},"body":"aGk="}]})";
    while (call("POST", "/batch/x", job).head.status != 202) {
    }
  }

  /// Waits for the result of the item.
  std::string text_of_item() {
    while (true) {
      const auto outcome = call("GET", "/v1/lots/job?sinceRevision=0", {});
      const auto page = nlohmann::json::parse(outcome.body, nullptr, false);
      if (outcome.head.status == 200 && !page["results"].empty()) {
        return page["results"][0]["text"];
      }
    }
  }
};

}  // namespace dockpoint::test
