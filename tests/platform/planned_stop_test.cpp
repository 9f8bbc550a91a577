/// Tests a planned stop: each request that reached a replica has an answer before the process
/// exits, and none is taken, or sent again, whose answer cannot be expected before.

#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/clock.hpp"
#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t kFirstPort = 28'181;
constexpr int kReplicas = 2;

/// Routes whose requests may outlast the grace period of 4 s, except those of `warm` and `brief`. A
/// silent replica is given up after three times `targetMs`.
constexpr const char* kRoutes = R"({"version":1,"routeList":[
 {"name":"warm","host":"a.example","pathPrefix":"/warm/","type":"idempotent","timeoutMs":3000,
  "targetMs":300,"priority":0,"service":"lm","attempts":2},
 {"name":"hasty","host":"a.example","pathPrefix":"/hasty/","type":"idempotent","timeoutMs":10000,
  "targetMs":500,"priority":0,"service":"lm","attempts":2},
 {"name":"brief","host":"a.example","pathPrefix":"/brief/","type":"nonIdempotent","timeoutMs":3000,
  "targetMs":4000,"priority":0,"service":"lm","attempts":1},
 {"name":"quick","host":"a.example","pathPrefix":"/quick/","type":"idempotent","timeoutMs":10000,
  "targetMs":4000,"priority":0,"service":"lm","attempts":2},
 {"name":"once","host":"a.example","pathPrefix":"/once/","type":"nonIdempotent","timeoutMs":10000,
  "targetMs":4000,"priority":0,"service":"lm","attempts":1},
 {"name":"chat","host":"a.example","pathPrefix":"/chat/","type":"streaming","timeoutMs":10000,
  "targetMs":4000,"priority":0,"service":"lm","attempts":1}],
 "services":[{"name":"lm","healthPath":"/healthz","maxConns":50,"engine":{"slots":20,
  "kvCacheTokens":1000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// A request of a caller.
struct Request {
  std::optional<net::SimpleCall::Outcome> outcome;
  TimePoint sent_at = net::steady_now();
  TimePoint answered_at{};
};
using RequestPtr = std::shared_ptr<Request>;

/// A node that is stopped, its callers, and replicas that hold requests until the test answers.
struct StopFixture {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient callers{loop};
  std::list<StandInReplica> replicas;
  std::vector<net::ExchangePtr> held;
  std::unique_ptr<GatewayNode> node;
  int requests = 0;
  TimePoint stopped_at{};

  StopFixture() {
    store.put(platform::kConfigurationTopic, platform::kConfigurationKey, kRoutes);
    for (int number = 0; number < kReplicas; ++number) {
      const auto port = static_cast<std::uint16_t>(kFirstPort + number);
      const std::string id = "r" + std::to_string(port);
      replicas.emplace_back(loop, id, port, [this](const net::ExchangePtr& exchange) {
        if (exchange->request().target.starts_with("/warm/")) {
          answer(exchange);
        } else {
          held.push_back(exchange);
        }
      });
      store.put(platform::kReplicasTopic, id,
                replica_record("127.0.0.1:" + std::to_string(port), 20).dump());
    }
    node = std::make_unique<GatewayNode>(loop, 1);
    while (call("/warm/1")->outcome->head.status != 200) {
    }
  }

  static void answer(const net::ExchangePtr& exchange) {
    exchange->respond(200, genuine_headers(exchange), "whole");
  }

  void run_until(const std::function<bool()>& done) {
    while (!done() && !loop.stopped()) {
      loop.run_one_for(milliseconds(5));
      if (!loop.stopped()) {
        store.tick();
      }
    }
  }
  void run_for(Duration time) {
    const TimePoint end = net::steady_now() + time;
    run_until([&] { return net::steady_now() >= end; });
  }

  RequestPtr begin(const std::string& target) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "request-" + std::to_string(++requests)},
                               {"Content-Length", "0"}};
    const auto request = std::make_shared<Request>();
    net::SimpleCall::start(callers, loop, {*Address::parse(GatewayNode::address(1, 0)), "caller"},
                           net::serialize(net::RequestHead{"POST", target, headers}), {},
                           std::chrono::seconds(12), [request](net::SimpleCall::Outcome outcome) {
                             request->outcome = std::move(outcome);
                             request->answered_at = net::steady_now();
                           });
    return request;
  }
  /// Begins a request and waits until a replica has it.
  RequestPtr begin_held(const std::string& target) {
    const std::size_t before = held.size();
    const RequestPtr request = begin(target);
    run_until([&] { return held.size() > before; });
    return request;
  }
  RequestPtr call(const std::string& target) {
    const RequestPtr request = begin(target);
    run_until([&] { return request->outcome.has_value(); });
    return request;
  }
  /// Has a request on `target` answered by its last replica after `time`.
  void complete_one(const std::string& target, Duration time) {
    const RequestPtr request = begin_held(target);
    run_for(time);
    answer(held.back());
    run_until([&] { return request->outcome.has_value(); });
    BOOST_REQUIRE(request->outcome->head.status == 200);
  }

  void stop() {
    node->gateway.stop();
    stopped_at = net::steady_now();
  }
  void run_until_after_stop(Duration time) { run_for(stopped_at + time - net::steady_now()); }
  /// Runs the node until it exits. What it has not sent by then is lost.
  void run_to_the_exit() {
    run_until([] { return false; });
    BOOST_TEST((net::steady_now() - stopped_at < GatewayNode::settings(1).grace));
    node.reset();
    loop.restart();
    loop.run_for(milliseconds(200));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop, StopFixture)

// Guards against requests that are cut without an answer when the process exits.
BOOST_AUTO_TEST_CASE(each_request_under_way_at_the_exit_gets_a_final_answer) {
  std::vector<RequestPtr> under_way;
  for (int round = 0; round < 4; ++round) {
    for (const char* target : {"/quick/1", "/once/1", "/chat/1"}) {
      under_way.push_back(begin_held(target));
    }
  }
  const RequestPtr begun = begin_held("/chat/1");
  net::Headers headers = genuine_headers(held.back());
  held.back()->begin({200, {}, headers});
  held.back()->write("id: 1\ndata: a\n\n");
  stop();
  run_to_the_exit();
  for (const RequestPtr& request : under_way) {
    BOOST_TEST_REQUIRE(request->outcome.has_value());
    BOOST_TEST(!request->outcome->failure.has_value());
    BOOST_TEST(request->outcome->head.status == 502);
  }
  BOOST_TEST_REQUIRE(begun->outcome.has_value());
  BOOST_TEST(begun->outcome->failure.has_value());
  BOOST_TEST(begun->outcome->body.starts_with("id: 1"));
}

// Guards against a route without completed answers whose requests are taken as if they took no
// time.
BOOST_AUTO_TEST_CASE(
    a_request_whose_usual_time_is_not_known_is_refused_if_it_may_outlast_the_node) {
  stop();
  run_until_after_stop(milliseconds(500));
  for (const char* target : {"/quick/1", "/once/1", "/chat/1"}) {
    const RequestPtr request = call(target);
    BOOST_TEST_REQUIRE(request->outcome.has_value());
    BOOST_TEST(request->outcome->head.status == 503);
    BOOST_TEST(request->outcome->head.headers.has("Retry-After"));
    BOOST_TEST((request->answered_at - request->sent_at < milliseconds(1'000)));
  }
  BOOST_TEST(held.empty());
}

// Guards against requests that time out and do not count as the route's usual time.
BOOST_AUTO_TEST_CASE(
    a_request_is_refused_if_one_that_timed_out_shows_that_it_may_outlast_the_node) {
  complete_one("/brief/1", milliseconds(0));
  BOOST_TEST(call("/brief/1")->outcome->head.status == 504);
  const std::size_t before = held.size();
  stop();
  run_until_after_stop(milliseconds(700));
  const RequestPtr request = call("/brief/1");
  BOOST_TEST_REQUIRE(request->outcome.has_value());
  BOOST_TEST(request->outcome->head.status == 503);
  BOOST_TEST(held.size() == before);
}

// Guards against attempts that are sent so late that the node exits before their answer.
BOOST_AUTO_TEST_CASE(no_attempt_is_repeated_that_cannot_end_before_the_exit) {
  complete_one("/quick/1", milliseconds(1'000));
  const RequestPtr request = begin_held("/quick/1");
  stop();
  run_until_after_stop(milliseconds(2'800));
  const std::size_t before = held.size();
  held.back()->abort();
  run_until([&] { return request->outcome.has_value(); });
  BOOST_TEST_REQUIRE(request->outcome.has_value());
  BOOST_TEST(!request->outcome->failure.has_value());
  BOOST_TEST(request->outcome->head.status == 502);
  BOOST_TEST(held.size() == before);
}

BOOST_AUTO_TEST_CASE(an_attempt_is_repeated_that_can_end_before_the_exit) {
  complete_one("/quick/1", milliseconds(1'000));
  const RequestPtr request = begin_held("/quick/1");
  stop();
  run_until_after_stop(milliseconds(1'500));
  const std::size_t before = held.size();
  held.back()->abort();
  run_until([&] { return held.size() > before; });
  BOOST_TEST(held.size() == before + 1);
  answer(held.back());
  run_until([&] { return request->outcome.has_value(); });
  BOOST_TEST_REQUIRE(request->outcome.has_value());
  BOOST_TEST(request->outcome->head.status == 200);
}

// Guards against giving up a run that may still answer for one that cannot.
BOOST_AUTO_TEST_CASE(a_silent_replica_is_kept_when_another_attempt_cannot_end_before_the_exit) {
  complete_one("/hasty/1", milliseconds(2'200));
  const RequestPtr request = begin_held("/hasty/1");
  const std::size_t before = held.size();
  stop();
  run_until_after_stop(milliseconds(2'500));
  BOOST_TEST(held.size() == before);
  answer(held.back());
  run_until([&] { return request->outcome.has_value(); });
  BOOST_TEST_REQUIRE(request->outcome.has_value());
  BOOST_TEST(request->outcome->head.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
