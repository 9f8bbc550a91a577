#include "gateway/online_proxy.hpp"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/clock.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontPort = 28'101;
constexpr std::uint16_t kFirstPort = 28'102;
constexpr std::uint16_t kSecondPort = 28'103;
constexpr std::uint16_t kDeadPort = 28'109;

void answer(const net::ExchangePtr& exchange, const std::string& body) {
  exchange->respond(200, genuine_headers(exchange), body);
}

void turn_away(const net::ExchangePtr& exchange) {
  net::Headers headers = genuine_headers(exchange);
  headers.add("Not-Executed", "1");
  exchange->respond(503, headers, {});
}

/// Sends events `first` to `last`, and breaks off or ends.
void stream(const net::ExchangePtr& exchange, int first, int last, bool whole) {
  net::Headers headers = genuine_headers(exchange);
  headers.add("Content-Type", "text/event-stream");
  exchange->begin({200, {}, headers});
  for (int id = first; id <= last; ++id) {
    exchange->write("id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n");
  }
  if (whole) {
    exchange->end();
  } else {
    exchange->write("id: " + std::to_string(last + 1) + "\nda");
    exchange->abort();
  }
}

/// A tenant that may send one request, and hardly another; all requests of a world are its own.
class LimitedTenant {
 public:
  explicit LimitedTenant(ProxyWorld& world) : limiter_(world.knobs(), {}, 1) {
    limiter_.set_limits(TenantDirectory::build({tenant_}).value());
    fill_buckets();
    world.tenant = &tenant_;
    world.limit_rate(limiter_);
  }

 private:
  /// Lets the limiter run for so long that its buckets are full.
  void fill_buckets() {
    constexpr Duration kRound = std::chrono::milliseconds(100);
    const TimePoint now = net::steady_now();
    for (TimePoint round = now - std::chrono::seconds(20); round < now; round += kRound) {
      limiter_.tick(round);
    }
  }

  const Tenant tenant_{"clinic", 0, {0.5, 1}, {"key"}};
  TenantRateLimiter limiter_;
};

int resumed_at(const net::ExchangePtr& exchange) {
  const std::string value(exchange->request().headers.get("Last-Event-Id"));
  return value.empty() ? 0 : std::stoi(value);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(online_proxy)

BOOST_AUTO_TEST_CASE(an_answer_is_passed_on_unchanged_and_the_replica_is_named) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  world.directory.upsert(replica.record("lm"), {});
  const auto outcome = world.ask({{"Deadline-Ms", "900"}});
  BOOST_TEST(!outcome.failure);
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(outcome.body == "whole");
  BOOST_TEST(outcome.head.headers.get("Response-Signature") == "signed");
  BOOST_TEST(replica.last().headers.get("Target-Instance") == "r1");
  BOOST_TEST(std::stoi(std::string(replica.last().headers.get("Deadline-Ms"))) <= 900);
  BOOST_TEST(world.in_flight() == 0U);
  BOOST_TEST(world.directory.find("r1")->online == 0);
}

BOOST_AUTO_TEST_CASE(what_did_not_run_goes_to_another_replica_and_is_refused_at_last) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort, turn_away);
  world.directory.upsert(replica.record("lm"), {});
  ReplicaRecord dead = replica.record("lm");
  dead.id = "r2";
  dead.address.port = kDeadPort;
  world.directory.upsert(dead, {});
  const auto outcome = world.ask();
  BOOST_TEST(outcome.head.status == 503);
  BOOST_TEST(outcome.head.headers.has("Retry-After"));
  BOOST_TEST(!outcome.head.headers.has("Response-Signature"));
  BOOST_TEST(replica.requests() >= 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_be_late_is_refused_once_and_served_when_it_comes_back) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  world.directory.upsert(replica.record("lm"), {});
  const std::uint32_t key = world.directory.find("r1")->key;
  const LoadDigest busy{node_key("n2"), 0, 0, false, 0, {{key, 60, 0, 0, 0}}};
  world.directory.set_peer_loads({busy}, net::steady_now());
  const auto refused = world.ask({{"Deadline-Ms", "4000"}});
  BOOST_TEST(refused.head.status == 503);
  const double pause = std::stod(std::string(refused.head.headers.get("Retry-After")));
  BOOST_TEST(pause > 0.4);
  BOOST_TEST(pause < 4.0 / 3);
  BOOST_TEST(replica.requests() == 0);
  BOOST_TEST(world.ask({{"Deadline-Ms", "3400"}}).head.status == 200);
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(what_may_have_run_is_not_repeated_and_gets_no_promise) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  world.route().attempts = 3;
  const auto break_off = [](const net::ExchangePtr& exchange) { exchange->abort(); };
  StandInReplica first(world.loop, "r1", kFirstPort, break_off);
  StandInReplica second(world.loop, "r2", kSecondPort, break_off);
  world.directory.upsert(first.record("lm"), {});
  world.directory.upsert(second.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 502);
  BOOST_TEST(first.requests() + second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_broken_answer_of_an_idempotent_request_is_repeated_elsewhere) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kIdempotent;
  world.route().attempts = 2;
  int calls = 0;
  const auto break_once = [&](const net::ExchangePtr& exchange) {
    if (++calls == 1) {
      exchange->abort();
    } else {
      answer(exchange, "second");
    }
  };
  StandInReplica first(world.loop, "r1", kFirstPort, break_once);
  StandInReplica second(world.loop, "r2", kSecondPort, break_once);
  world.directory.upsert(first.record("lm"), {});
  world.directory.upsert(second.record("lm"), {});
  const auto outcome = world.ask();
  BOOST_TEST(outcome.body == "second");
  BOOST_TEST(first.requests() == 1);
  BOOST_TEST(second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_success_without_the_replicas_mark_is_not_passed_on) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(200, {}, "not an answer of the replica");
  });
  world.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 502);
}

BOOST_AUTO_TEST_CASE(a_promise_that_the_replica_did_not_make_is_not_passed_on) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(503, genuine_headers(exchange), "it ran");
  });
  world.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 502);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_behind_the_last_whole_event) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kStreaming;
  world.route().resumable = true;
  world.route().attempts = 2;
  const auto break_first_run = [](const net::ExchangePtr& exchange) {
    const int after = resumed_at(exchange);
    stream(exchange, after + 1, after == 0 ? 2 : 4, after > 0);
  };
  StandInReplica first(world.loop, "r1", kFirstPort, break_first_run);
  StandInReplica second(world.loop, "r2", kSecondPort, break_first_run);
  world.directory.upsert(first.record("lm"), {});
  world.directory.upsert(second.record("lm"), {});
  const auto outcome = world.ask();
  BOOST_TEST(!outcome.failure);
  BOOST_TEST(outcome.body ==
             "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\n");
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_go_on_does_not_look_complete) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kStreaming;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [](const auto& exchange) { stream(exchange, 1, 2, false); });
  world.directory.upsert(replica.record("lm"), {});
  const auto outcome = world.ask();
  BOOST_TEST_REQUIRE(outcome.failure.has_value());
  BOOST_TEST((*outcome.failure == net::CallFailure::kInterrupted));
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_request_is_skipped) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  boost::asio::ip::tcp::acceptor acceptor(world.loop,
                                          {boost::asio::ip::make_address("127.0.0.1"), kFirstPort});
  boost::asio::ip::tcp::socket socket(world.loop);
  const std::string crossed =
      "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\n"
      "wrong";
  const std::string own =
      "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\nContent-Length: "
      "5\r\n\r\n"
      "right";
  acceptor.async_accept(socket, [&](const boost::system::error_code&) {
    boost::asio::write(socket, boost::asio::buffer(crossed + own));
  });
  world.directory.upsert({"r1", "lm", {"127.0.0.1", kFirstPort}, "zone-a", 4, false, {}}, {});
  const auto outcome = world.ask();
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(outcome.body == "right");
}

BOOST_AUTO_TEST_CASE(time_is_up_at_the_routes_limit) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  world.route().timeout = std::chrono::milliseconds(100);
  std::vector<net::ExchangePtr> held;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [&](const auto& exchange) { held.push_back(exchange); });
  world.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 504);
  BOOST_TEST(world.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(a_silent_replica_is_noted_once_though_the_request_may_not_move_on) {
  ProxyWorld world(kFrontPort);
  world.knobs().silence_minimum = std::chrono::milliseconds(30);
  RouteConfig& route = world.route();
  route.kind = RouteKind::kNonIdempotent;
  route.target = std::chrono::milliseconds(10);
  int rounds_of_silence = 0;
  net::ExchangePtr held;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [&](const auto& exchange) { held = exchange; });
  world.directory.upsert(replica.record("lm"), {});
  const auto failures = [&] { return world.directory.find("r1")->failures(net::steady_now()); };
  const net::RequestHead head{
      "POST", "/x/1", {{"Host", "a"}, {"Attempt-Id", "request-1"}, {"Content-Length", "0"}}};
  bool answered = false;
  net::SimpleCall::start(world.client, world.loop, {{"127.0.0.1", kFrontPort}, "front"},
                         net::serialize(head), {}, std::chrono::seconds(30),
                         [&](const net::SimpleCall::Outcome&) { answered = true; });
  world.run_until([&] { return failures() > 0; });
  constexpr int kRounds = 20;
  world.run_until([&] { return ++rounds_of_silence > kRounds; });
  BOOST_TEST(failures() <= 1.0);
  answer(held, "late");
  world.run_until([&] { return answered; });
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_replicas_word_that_it_failed_is_passed_on_and_noted) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(500, genuine_headers(exchange), "broken");
  });
  world.directory.upsert(replica.record("lm"), {});
  const auto outcome = world.ask();
  BOOST_TEST(outcome.head.status == 500);
  BOOST_TEST(outcome.body == "broken");
  BOOST_TEST(world.directory.find("r1")->failures(net::steady_now()) > 0.5);
  BOOST_TEST(world.directory.find("r1")->failures_in_row == 0);
}

BOOST_AUTO_TEST_CASE(the_replicas_connection_is_closed_when_the_caller_goes) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  std::vector<net::ExchangePtr> held;
  bool replica_saw_close = false;
  StandInReplica replica(world.loop, "r1", kFirstPort, [&](const net::ExchangePtr& exchange) {
    exchange->on_client_gone([&] { replica_saw_close = true; });
    held.push_back(exchange);
  });
  world.directory.upsert(replica.record("lm"), {});
  const net::RequestHead head{
      "POST", "/x/1", {{"Host", "a"}, {"Attempt-Id", "request-1"}, {"Content-Length", "0"}}};
  const auto call = net::SimpleCall::start(
      world.client, world.loop, {{"127.0.0.1", kFrontPort}, "front"}, net::serialize(head), {},
      std::chrono::seconds(5), [](const net::SimpleCall::Outcome&) {});
  world.run_until([&] { return !held.empty(); });
  call->cancel();
  world.run_until([&] { return replica_saw_close; });
  BOOST_TEST(world.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(what_is_in_flight_at_a_replica_that_starts_again_moves_on_at_once) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kIdempotent;
  world.route().attempts = 2;
  StandInReplica other(world.loop, "r2", kSecondPort,
                       [](const auto& exchange) { answer(exchange, "whole"); });
  StandInReplica silent(world.loop, "r1", kFirstPort, [&](const auto&) {
    world.directory.upsert(other.record("lm"), {});
    world.directory.end_incarnation("r1", net::steady_now());
  });
  world.directory.upsert(silent.record("lm"), {});
  BOOST_TEST(world.ask().body == "whole");
  BOOST_TEST(silent.requests() == 1);
  BOOST_TEST(other.requests() == 1);
}

BOOST_AUTO_TEST_CASE(what_may_not_be_repeated_fails_at_once_when_its_replica_starts_again) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  StandInReplica silent(world.loop, "r1", kFirstPort, [&](const auto&) {
    world.directory.end_incarnation("r1", net::steady_now());
  });
  world.directory.upsert(silent.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 502);
  BOOST_TEST(silent.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_request_over_its_tenants_rate_is_refused_before_a_replica_is_asked) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kIdempotent;
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  world.directory.upsert(replica.record("lm"), {});
  const LimitedTenant limited(world);
  BOOST_TEST(world.ask().head.status == 200);
  const auto refused = world.ask();
  BOOST_TEST(refused.head.status == 429);
  BOOST_TEST(std::stod(std::string(refused.head.headers.get("Retry-After"))) > 0);
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_has_not_run_does_not_count_against_the_rate) {
  ProxyWorld world(kFrontPort);
  world.route().kind = RouteKind::kNonIdempotent;
  const LimitedTenant limited(world);
  BOOST_TEST(world.ask().head.status == 503);  // No replica.
  StandInReplica replica(world.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  world.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(world.ask().head.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
