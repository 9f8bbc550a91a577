/// End-to-end tests of the platform protocol in one process: two gateways, a stand-in for the store
/// and a stand-in for a replica.

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <thread>

#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"
#include "platform/wire_names.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

using Node = GatewayNode;

constexpr std::uint16_t kReplicaPort = 28'202;
constexpr std::uint16_t kRefusingStorePort = 28'203;

struct Fixture {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  int failure_status = 0;   ///< Status of failed answers; 0 for none.
  int failures_left = 100;  ///< Number of failed answers before success.
  StandInReplica replica{loop, "r1", kReplicaPort, [this](const auto& exchange) { run(exchange); }};
  std::unique_ptr<Node> first = std::make_unique<Node>(loop, 1);
  std::unique_ptr<Node> second = std::make_unique<Node>(loop, 2);

  Fixture() {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, route_configuration(3));
    store.put(platform::kReplicasTopic, "r1", replica_record("127.0.0.1:28202").dump());
    wait_for([&] { return send_request(1, 1, "GET", "/").head.status == 200; });
    wait_for([&] { return send_request(2, 1, "GET", "/").head.status == 200; });
  }

  void run(const net::ExchangePtr& exchange) {
    if (failure_status != 0 && failures_left-- > 0) {
      exchange->respond(failure_status, genuine_headers(exchange), {});
      return;
    }
    net::Headers headers = genuine_headers(exchange);
    if (!exchange->request().target.starts_with("/batch/")) {
      exchange->respond(200, headers, "done");
      return;
    }
    exchange->begin({200, {}, headers});
    exchange->write("id: 1\ndata: a\n\nid: 2\ndata: " + exchange->body() + "\n\n");
    exchange->end();
  }

  void wait_for(const std::function<bool()>& done) {
    while (!done()) {
      poll_once();
    }
  }
  void poll_once() {
    loop.run_one_for(std::chrono::milliseconds(5));
    store.tick();
  }

  net::SimpleCall::Outcome send_request(int node, int port, const std::string& method,
                                        const std::string& target, net::Headers headers = {},
                                        const std::string& body = {}) {
    headers.add("Host", "a.example");
    headers.add("Content-Length", std::to_string(body.size()));
    std::optional<net::SimpleCall::Outcome> result;
    const Address address = *Address::parse(Node::address(node, port));
    net::SimpleCall::start(caller, loop, {address, "caller"},
                           net::serialize(net::RequestHead{method, target, headers}) + body, {},
                           std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    wait_for([&] { return result.has_value(); });
    return std::move(*result);
  }

  int submit(int node, const std::string& id) {
    const std::string body =
        R"({"requests":[{"id":"i1","path":"/batch/1","headers":{"Model":"m"},"body":"aGk="},)"
        R"({"id":"i2","path":"/batch/2","headers":{},"body":""}]})";
    return send_request(node, 0, "POST", "/batch/x", {{"Attempt-Id", id}}, body).head.status;
  }
  nlohmann::json read(int node, const std::string& id) {
    const auto outcome = send_request(node, 0, "GET", "/v1/lots/" + id + "?sinceRevision=0");
    return outcome.head.status == 200 ? nlohmann::json::parse(outcome.body) : nlohmann::json();
  }
  /// Polls the job until the results of both items are listed.
  nlohmann::json read_whole(int node, const std::string& id) {
    nlohmann::json page;
    wait_for([&] {
      page = read(node, id);
      return page.is_object() && page["results"].size() == 2;
    });
    return page;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(platform_system, Fixture)

BOOST_AUTO_TEST_CASE(requests_are_served_and_unknown_routes_are_not) {
  const auto answer = send_request(1, 0, "POST", "/quick/1", {{"Attempt-Id", "q1"}});
  BOOST_TEST(answer.head.status == 200);
  BOOST_TEST(answer.body == "done");
  BOOST_TEST(send_request(1, 0, "POST", "/elsewhere/1", {{"Attempt-Id", "q2"}}).head.status == 404);
  BOOST_TEST(send_request(2, 0, "POST", "/quick/1").head.status == 400);
}

BOOST_AUTO_TEST_CASE(a_newer_configuration_is_applied_and_an_older_one_is_ignored) {
  std::string other = route_configuration(5);
  other.replace(other.find("/quick/"), 7, "/other/");
  store.put(platform::kConfigurationTopic, platform::kConfigurationKey, other);
  wait_for([&] {
    return send_request(1, 0, "POST", "/other/1", {{"Attempt-Id", "q"}}).head.status == 200;
  });
  store.put(platform::kConfigurationTopic, platform::kConfigurationKey, route_configuration(4));
  for (int round = 0; round < 30; ++round) {
    BOOST_TEST(send_request(1, 0, "POST", "/other/1", {{"Attempt-Id", "q"}}).head.status == 200);
  }
}

BOOST_AUTO_TEST_CASE(every_node_returns_the_same_job_results) {
  BOOST_TEST(submit(1, "0a") == 202);
  BOOST_TEST(submit(2, "0a") == 202);
  const nlohmann::json page = read_whole(2, "0a");
  BOOST_TEST(page["total"] == 2);
  BOOST_TEST(page["nextToken"] == 2);
  for (const auto& result : page["results"]) {
    BOOST_TEST(result["state"] == "succeeded");
    BOOST_TEST(result["text"] == (result["id"] == "i1" ? "a\nhi" : "a\n"));
  }
  BOOST_TEST((read_whole(1, "0a") == page));
  const auto body = send_request(1, 0, "GET", "/v1/items/0a?id=i1");
  BOOST_TEST(body.head.status == 200);
  BOOST_TEST(body.body == "hi");
  BOOST_TEST(send_request(2, 0, "DELETE", "/v1/lots/0a").head.status == 200);
  BOOST_TEST(send_request(1, 0, "DELETE", "/v1/lots/0a").head.status == 200);
  BOOST_TEST((read_whole(1, "0a") == page));
}

BOOST_AUTO_TEST_CASE(an_item_with_a_permanent_failure_is_dead_lettered) {
  failure_status = 422;
  BOOST_TEST(submit(1, "0b") == 202);
  const nlohmann::json page = read_whole(1, "0b");
  for (const auto& result : page["results"]) {
    BOOST_TEST(result["state"] == "dead_lettered");
  }
  BOOST_TEST(replica.requests() == 2);
}

BOOST_AUTO_TEST_CASE(an_item_is_dead_lettered_after_the_attempts_of_its_route) {
  failure_status = 500;
  BOOST_TEST(submit(1, "0f") == 202);
  const nlohmann::json page = read_whole(1, "0f");
  for (const auto& result : page["results"]) {
    BOOST_TEST(result["state"] == "dead_lettered");
  }
  BOOST_TEST(replica.requests() == 6);
}

BOOST_AUTO_TEST_CASE(gateway_timeouts_do_not_count_as_item_failures) {
  failure_status = 504;
  failures_left = 8;  // More than the failures allowed for both items together.
  BOOST_TEST(submit(1, "10") == 202);
  const nlohmann::json page = read_whole(1, "10");
  for (const auto& result : page["results"]) {
    BOOST_TEST(result["state"] == "succeeded");
  }
}

BOOST_AUTO_TEST_CASE(jobs_and_results_survive_a_restart_of_all_nodes) {
  BOOST_TEST(submit(1, "0c") == 202);
  const nlohmann::json before = read_whole(1, "0c");
  BOOST_TEST(submit(2, "0d") == 202);
  first.reset();
  second.reset();
  loop.restart();
  store.log.forget_history();
  first = std::make_unique<Node>(loop, 1);
  second = std::make_unique<Node>(loop, 2);
  BOOST_TEST((read_whole(2, "0c") == before));
  BOOST_TEST(read_whole(1, "0d")["results"].size() == 2U);
}

// Regression: a node's timer that had expired already used the destroyed node.
BOOST_AUTO_TEST_CASE(a_tick_due_before_the_node_is_destroyed_does_nothing) {
  constexpr std::chrono::milliseconds kLongerThanATick(200);
  std::this_thread::sleep_for(kLongerThanATick);
  boost::asio::post(loop, [&] { first.reset(); });
  loop.poll();
  BOOST_TEST(send_request(2, 0, "POST", "/quick/1", {{"Attempt-Id", "q"}}).head.status == 200);
}

BOOST_AUTO_TEST_CASE(without_the_log_jobs_are_refused_and_online_requests_are_served) {
  store.log.faults.down = true;
  const int refused = submit(1, "0e");
  BOOST_TEST(refused == 503);
  BOOST_TEST(send_request(1, 0, "POST", "/quick/1", {{"Attempt-Id", "q"}}).head.status == 200);
  store.log.faults = {};
  wait_for([&] { return submit(2, "0e") == 202; });
  BOOST_TEST(read_whole(1, "0e")["total"] == 2);
}

BOOST_AUTO_TEST_CASE(a_node_refused_by_the_log_forwards_jobs) {
  net::HttpServer refusing(loop, [](const auto& exchange) { exchange->respond(503, {}, {}); });
  refusing.listen("127.0.0.1:" + std::to_string(kRefusingStorePort));
  Node third(loop, 3, kRefusingStorePort);
  wait_for([&] { return send_request(3, 1, "GET", "/").head.status == 200; });
  wait_for([&] { return submit(3, "0f") == 202; });
  BOOST_TEST(read_whole(1, "0f")["total"] == 2);
}

BOOST_AUTO_TEST_CASE(a_job_over_the_route_token_limit_is_refused_without_effect) {
  std::string limited = route_configuration(4);
  limited.insert(limited.find("\"retentionS\""), "\"maxQueuedTokens\":100,");
  store.put(platform::kConfigurationTopic, platform::kConfigurationKey, limited);
  const auto send = [&](const std::string& id, int tokens) {
    const std::string body = R"({"requests":[{"id":"i1","path":"/batch/1","tokenCount":)" +
                             std::to_string(tokens) + "}]}";
    return send_request(1, 0, "POST", "/batch/x", {{"Attempt-Id", id}}, body);
  };
  failure_status = 503;  // Keeps accepted jobs waiting, as no item completes.
  wait_for([&] { return send("a1", 101).head.status == 429; });
  const auto never = send("a2", 101);
  BOOST_TEST(!never.head.headers.has("Retry-After"));
  BOOST_TEST(never.body.find("divide") != std::string::npos);
  BOOST_TEST(send("a3", 60).head.status == 202);
  const auto full = send("a4", 60);
  BOOST_TEST(full.head.status == 429);
  BOOST_TEST(full.head.headers.has("Retry-After"));
  BOOST_TEST(send("a3", 60).head.status == 202);  // Resubmission of the same job.
  failures_left = 0;
  wait_for([&] { return send("a4", 60).head.status == 202; });
}

BOOST_AUTO_TEST_CASE(malformed_jobs_are_rejected_without_effect) {
  const std::string item = R"({"id":"i","path":"/batch/1"})";
  std::string many = R"({"requests":[)";
  for (int index = 0; index <= 200; ++index) {
    many += (index == 0 ? "" : ",") + std::string(R"({"id":")") + std::to_string(index) +
            R"(","path":"/batch/1"})";
  }
  for (const std::string& body :
       {std::string("not json"), std::string("[]"), std::string(R"({"requests":[]})"),
        R"({"requests":[)" + item + "," + item + "]}", many + "]}",
        std::string(R"({"requests":[{"id":"i","path":"batch"}]})"),
        std::string(R"({"requests":[{"id":"i","path":"/b","body":5}]})"),
        std::string(R"({"requests":[{"id":"i","path":"/b","headers":{"A":"b\r\nC: d"}}]})"),
        std::string(R"({"requests":[{"id":7,"path":"/b"}]})")}) {
    const auto answer = send_request(1, 0, "POST", "/batch/x", {{"Attempt-Id", "bad"}}, body);
    BOOST_TEST(answer.head.status == 400, body.substr(0, 60));
    BOOST_TEST(answer.body.find("malformed_body") != std::string::npos, answer.body);
  }
  BOOST_TEST(submit(1, "bad") == 202);
}

BOOST_AUTO_TEST_CASE(dropped_log_lines_are_counted_in_the_metrics) {
  const auto dropped = [&] {
    const std::string page = send_request(1, 5, "GET", "/metrics").body;
    const std::string name = "\ndockpoint_gateway_log_lines_dropped ";
    const std::size_t at = page.find(name);
    return at == std::string::npos ? -1 : std::stoi(page.substr(at + name.size()));
  };
  BOOST_TEST(dropped() == 0);
  for (int line = 0; line < 10'000; ++line) {
    first->log.log({"dockpoint", spdlog::level::info, "a line"});
  }
  wait_for([&] { return dropped() > 0; });
}

BOOST_AUTO_TEST_CASE(a_stopping_node_leaves_resolver_answers_and_still_serves) {
  const std::string resolve = "/v1/resolve?name=a.example&region=r&zone=zone-a";
  BOOST_TEST(send_request(1, 2, "GET", resolve).body.find(Node::address(1, 0)) !=
             std::string::npos);
  first->gateway.stop();
  BOOST_TEST(send_request(1, 1, "GET", "/").head.status == 503);
  BOOST_TEST(send_request(1, 2, "GET", resolve).body.find(Node::address(1, 0)) ==
             std::string::npos);
  const auto served = send_request(1, 0, "POST", "/quick/1", {{"Attempt-Id", "q"}});
  BOOST_TEST(served.head.status == 200);
  BOOST_TEST(served.head.headers.get("Connection") == "close");
  wait_for([&] { return loop.stopped(); });
}

BOOST_AUTO_TEST_SUITE_END()
