#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "net/clock.hpp"
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
                                const std::string& body, const std::string& id = "job") {
    const net::Headers headers{
        {"Host", "a.example"}, {"Attempt-Id", id}, {"Content-Length", std::to_string(body.size())}};
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

  /// Submits a job of `items` items, whose ids begin with the job's, under a path prefix.
  void submit(const std::string& id, const std::string& path_prefix, int items) {
    nlohmann::json requests = nlohmann::json::array();
    for (int item = 0; item < items; ++item) {
      requests.push_back(
          {{"id", id + "-" + std::to_string(item)}, {"path", path_prefix + std::to_string(item)}});
    }
    const std::string job = nlohmann::json{{"requests", requests}}.dump();
    while (call("POST", path_prefix + "x", job, id).head.status != 202) {
    }
  }

  /// @return the results of a job so far, once the node can read the job.
  nlohmann::json results_of(const std::string& id) {
    while (true) {
      const auto outcome = call("GET", "/v1/lots/" + id + "?sinceRevision=0", {});
      if (outcome.head.status == 200) {
        return nlohmann::json::parse(outcome.body)["results"];
      }
    }
  }

  /// Reads a job until it has `count` results. @return its results at that time or after `limit`.
  nlohmann::json wait_for_results(const std::string& id, std::size_t count, Duration limit) {
    const TimePoint end = net::steady_now() + limit;
    nlohmann::json results = results_of(id);
    while (results.size() < count && net::steady_now() < end) {
      results = results_of(id);
    }
    return results;
  }

  void put_configuration(const std::string& document) {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, document);
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
