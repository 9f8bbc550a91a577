/// Tests the quarantine of requests that crash their replica. Callers retry such a request on any
/// node under a new id, so it is recognized by content.

#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <optional>

#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"
#include "platform/wire_names.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFirstReplicaPort = 28'210;
constexpr int kReplicas = 12;
constexpr const char* kCrashingBody = "crash";
constexpr const char* kUnluckyItemBody = "unlucky";
constexpr const char* kConnectionResetBody =
    "reset";  ///< Resets the connection; the replica keeps running.

/// Crashes after which a request must be quarantined.
constexpr int kQuarantineCrashes = 3;
/// Further crashes allowed by attempts that are already in flight.
constexpr int kConcurrentCrashes = 3;

/// Two nodes and replicas that crash on a request with the body `kCrashingBody`.
struct Fixture {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  std::list<StandInReplica> replicas;
  std::unique_ptr<GatewayNode> first = std::make_unique<GatewayNode>(loop, 1);
  std::unique_ptr<GatewayNode> second = std::make_unique<GatewayNode>(loop, 2);
  int requests = 0;
  bool replaced_at_once = false;  ///< Another process has the address of a crashed replica at once.
  int replaced = 0;
  int item_crashes_left = 0;  ///< Replicas that still crash while they run `kUnluckyItemBody`.

  Fixture() {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, route_configuration(3));
    for (int index = 0; index < kReplicas; ++index) {
      add_replica("r" + std::to_string(index),
                  static_cast<std::uint16_t>(kFirstReplicaPort + index));
    }
    wait_until_ready();
  }

  void add_replica(const std::string& id, std::uint16_t port) {
    const std::size_t index = replicas.size();
    replicas.emplace_back(loop, id, port, [this, index](const net::ExchangePtr& exchange) {
      run(*std::next(replicas.begin(), static_cast<std::ptrdiff_t>(index)), exchange);
    });
    store.put(platform::kReplicasTopic, id,
              replica_record("127.0.0.1:" + std::to_string(port)).dump());
  }

  void run(StandInReplica& replica, const net::ExchangePtr& exchange) {
    net::Headers headers = genuine_headers(exchange);
    headers.add("Content-Type", "text/event-stream");
    exchange->begin({200, {}, headers});
    exchange->write("id: 1\ndata: a\n\n");
    if (exchange->body() == kCrashingBody && replaced_at_once) {
      replica.restart_as("replaced-" + std::to_string(++replaced));
    } else if (exchange->body() == kCrashingBody) {
      replica.crash();
    } else if (exchange->body() == kUnluckyItemBody && item_crashes_left > 0) {
      --item_crashes_left;
      replica.crash();
    } else if (exchange->body() == kConnectionResetBody) {
      exchange->abort();
    } else {
      exchange->end();
    }
  }

  int crashed() const {
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(),
                                          [](const auto& replica) { return !replica.running(); }));
  }

  /// Deletes the records of crashed replicas from the store.
  void drop_records_of_crashed() {
    int index = 0;
    for (const StandInReplica& replica : replicas) {
      if (!replica.running()) {
        store.put(platform::kReplicasTopic, "r" + std::to_string(index), {});
      }
      ++index;
    }
  }

  void poll_once() {
    loop.run_one_for(std::chrono::milliseconds(5));
    store.tick();
  }
  void wait_for(const std::function<bool()>& done) {
    while (!done()) {
      poll_once();
    }
  }
  void run_for(Duration time) {
    const TimePoint end = net::steady_now() + time;
    wait_for([&] { return net::steady_now() >= end; });
  }
  void wait_until_ready() {
    for (const int node : {1, 2}) {
      wait_for([&] {
        const auto outcome = send_request(node, "hello");
        return !outcome.failure && outcome.head.status == 200;
      });
    }
  }

  /// Sends a streaming request with a unique id and waits until it completes.
  net::SimpleCall::Outcome send_request(int node, const std::string& body) {
    return call(node, 0, "POST", "/chat/1", body);
  }
  net::SimpleCall::Outcome call(int node, int port, const std::string& method,
                                const std::string& target, const std::string& body) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "request-" + std::to_string(++requests)},
                               {"Content-Length", std::to_string(body.size())}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(caller, loop,
                           {*Address::parse(GatewayNode::address(node, port)), "caller"},
                           net::serialize(net::RequestHead{method, target, headers}) + body, {},
                           std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    wait_for([&] { return result.has_value(); });
    return std::move(*result);
  }

  /// Sends the crashing request `times` times, alternating between the nodes.
  void send_crashing_requests(int times) {
    for (int round = 0; round < times; ++round) {
      send_request(1 + round % 2, kCrashingBody);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_requests, Fixture)

BOOST_AUTO_TEST_CASE(a_crashing_request_is_quarantined_after_few_crashes) {
  send_crashing_requests(kReplicas - 1);
  BOOST_TEST(crashed() <= kQuarantineCrashes + kConcurrentCrashes);
  for (const int node : {1, 2}) {
    BOOST_TEST(send_request(node, "hello").head.status == 200);
  }
}

// The addresses of such replicas accept connections all the time.
BOOST_AUTO_TEST_CASE(a_request_is_quarantined_though_its_replicas_are_replaced_at_once) {
  replaced_at_once = true;
  for (int round = 0; round < kReplicas - 1; ++round) {
    send_request(1 + round % 2, kCrashingBody);
    run_for(std::chrono::milliseconds(300));
  }
  BOOST_TEST(replaced >= kQuarantineCrashes);
  BOOST_TEST(replaced <= kQuarantineCrashes + kConcurrentCrashes);
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_with_retry_after) {
  send_crashing_requests(kReplicas - 1);
  const int before = crashed();
  for (const int node : {1, 2}) {
    const auto refusal = send_request(node, kCrashingBody);
    BOOST_TEST(refusal.head.status == 503);
    BOOST_TEST(!refusal.head.headers.has("Response-Signature"));
    BOOST_TEST(std::stod(std::string(refusal.head.headers.get("Retry-After"))) > 60);
  }
  BOOST_TEST(crashed() == before);
}

BOOST_AUTO_TEST_CASE(connection_resets_by_a_running_replica_do_not_quarantine) {
  for (int round = 0; round < 2 * kReplicas; ++round) {
    send_request(1 + round % 2, kConnectionResetBody);
  }
  run_for(std::chrono::milliseconds(300));
  const auto outcome = send_request(1, kConnectionResetBody);
  BOOST_TEST(outcome.head.status == 200);
}

BOOST_AUTO_TEST_CASE(quarantine_survives_a_restart_of_all_nodes) {
  send_crashing_requests(kReplicas - 1);
  const int before = crashed();
  run_for(std::chrono::milliseconds(500));
  first.reset();
  second.reset();
  loop.restart();
  first = std::make_unique<GatewayNode>(loop, 1);
  second = std::make_unique<GatewayNode>(loop, 2);
  wait_until_ready();
  run_for(std::chrono::milliseconds(500));
  BOOST_TEST(send_request(1, kCrashingBody).head.status == 503);
  BOOST_TEST(send_request(2, kCrashingBody).head.status == 503);
  BOOST_TEST(crashed() == before);
}

BOOST_AUTO_TEST_CASE(a_node_restarted_without_the_log_gets_quarantines_from_peers) {
  send_crashing_requests(kReplicas - 1);
  const int before = crashed();
  store.log.faults.down = true;
  first.reset();
  first = std::make_unique<GatewayNode>(loop, 1);
  wait_for([&] { return send_request(1, "hello").head.status == 200; });
  run_for(std::chrono::seconds(3));
  BOOST_TEST(send_request(1, kCrashingBody).head.status == 503);
  BOOST_TEST(crashed() == before);
}

BOOST_AUTO_TEST_CASE(an_operator_lists_and_clears_a_quarantined_request_on_all_nodes) {
  send_crashing_requests(kQuarantineCrashes + kConcurrentCrashes);
  run_for(std::chrono::milliseconds(300));
  const int before = crashed();
  const auto page = nlohmann::json::parse(call(2, 3, "GET", "/quarantine", {}).body);
  BOOST_REQUIRE(page.size() == 1U);
  BOOST_TEST(page[0]["ends"].size() >= 3U);
  BOOST_TEST(page[0]["quarantinedForMs"].get<int>() > 0);
  const std::string content = page[0]["content"];
  BOOST_TEST(call(2, 3, "DELETE", "/quarantine/none", {}).head.status == 400);
  BOOST_TEST(call(2, 3, "DELETE", "/quarantine/" + content, {}).head.status == 200);
  drop_records_of_crashed();
  run_for(std::chrono::seconds(1));
  send_request(1, kCrashingBody);
  BOOST_TEST(crashed() == before + 1);
}

// Guards against an accepted item that is never run again after replicas crashed under it.
BOOST_AUTO_TEST_CASE(an_item_under_which_many_replicas_crashed_completes) {
  constexpr int kCrashesUnderItem = 8;
  item_crashes_left = kCrashesUnderItem;
  const std::string job =
      R"({"requests":[{"id":"i1","path":"/batch/1","headers":{},"body":"dW5sdWNreQ=="},)"
      R"({"id":"i2","path":"/batch/2","headers":{},"body":"aGk="}]})";
  BOOST_TEST(call(1, 0, "POST", "/batch/x", job).head.status == 202);
  const std::string target = "/v1/lots/request-" + std::to_string(requests) + "?sinceRevision=0";
  std::size_t listed = 0;
  for (int wait = 0; wait < 40 && listed < 2; ++wait) {
    run_for(std::chrono::seconds(1));
    const auto outcome = call(1, 0, "GET", target, {});
    listed =
        outcome.head.status == 200 ? nlohmann::json::parse(outcome.body)["results"].size() : 0U;
  }
  BOOST_TEST(listed == 2U);
  BOOST_TEST(crashed() == kCrashesUnderItem);
}

BOOST_AUTO_TEST_SUITE_END()
