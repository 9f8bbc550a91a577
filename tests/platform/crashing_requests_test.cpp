/// Requests that crash the replicas that run them, and come back at any node under another id.

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

/// Crashes after which a request has to be known, and further ones that may be under way meanwhile.
constexpr int kCrashesNeeded = 3;
constexpr int kCrashesMeanwhile = 3;

/// Two nodes before replicas that end when they are asked with `kCrashingBody`.
struct Fixture {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  std::list<StandInReplica> replicas;
  std::unique_ptr<GatewayNode> first = std::make_unique<GatewayNode>(loop, 1);
  std::unique_ptr<GatewayNode> second = std::make_unique<GatewayNode>(loop, 2);
  int requests = 0;

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

  static void run(StandInReplica& replica, const net::ExchangePtr& exchange) {
    net::Headers headers = genuine_headers(exchange);
    headers.add("Content-Type", "text/event-stream");
    exchange->begin({200, {}, headers});
    exchange->write("id: 1\ndata: a\n\n");
    if (exchange->body() == kCrashingBody) {
      replica.crash();
    } else {
      exchange->end();
    }
  }

  int crashed() const {
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(),
                                          [](const auto& replica) { return !replica.running(); }));
  }

  void turn() {
    loop.run_one_for(std::chrono::milliseconds(5));
    store.tick();
  }
  void wait_for(const std::function<bool()>& done) {
    while (!done()) {
      turn();
    }
  }
  void run_for(Duration time) {
    const TimePoint end = net::steady_now() + time;
    wait_for([&] { return net::steady_now() >= end; });
  }
  void wait_until_ready() {
    for (const int node : {1, 2}) {
      wait_for([&] {
        const auto outcome = ask(node, "hello");
        return !outcome.failure && outcome.head.status == 200;
      });
    }
  }

  /// Sends a stream's request with an id of its own, and waits for its end.
  net::SimpleCall::Outcome ask(int node, const std::string& body) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "request-" + std::to_string(++requests)},
                               {"Content-Length", std::to_string(body.size())}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(caller, loop, {*Address::parse(GatewayNode::address(node, 0)), "caller"},
                           net::serialize(net::RequestHead{"POST", "/chat/1", headers}) + body, {},
                           std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    wait_for([&] { return result.has_value(); });
    return std::move(*result);
  }

  /// Sends the crashing request at both nodes by turns.
  void ask_crashing(int times) {
    for (int round = 0; round < times; ++round) {
      ask(1 + round % 2, kCrashingBody);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_requests, Fixture)

BOOST_AUTO_TEST_CASE(a_request_that_crashes_replicas_reaches_few_of_them) {
  ask_crashing(kReplicas - 1);
  BOOST_TEST(crashed() <= kCrashesNeeded + kCrashesMeanwhile);
  for (const int node : {1, 2}) {
    BOOST_TEST(ask(node, "hello").head.status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()
