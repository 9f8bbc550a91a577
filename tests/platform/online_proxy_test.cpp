#include "gateway/online_proxy.hpp"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/clock.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'101;
constexpr std::uint16_t kFirstPort = 28'102;
constexpr std::uint16_t kSecondPort = 28'103;
constexpr std::uint16_t kDeadPort = 28'109;

void answer(const net::ExchangePtr& exchange, const std::string& body) {
  exchange->respond(200, genuine_headers(exchange), body);
}

void refuse_unexecuted(const net::ExchangePtr& exchange) {
  net::Headers headers = genuine_headers(exchange);
  headers.add("Not-Executed", "1");
  exchange->respond(503, headers, {});
}

/// Streams events `first` to `last`, then ends the answer, or aborts within the next event if not
/// `complete`.
void stream(const net::ExchangePtr& exchange, int first, int last, bool complete) {
  net::Headers headers = genuine_headers(exchange);
  headers.add("Content-Type", "text/event-stream");
  exchange->begin({200, {}, headers});
  for (int id = first; id <= last; ++id) {
    exchange->write("id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n");
  }
  if (complete) {
    exchange->end();
  } else {
    exchange->write("id: " + std::to_string(last + 1) + "\nda");
    exchange->abort();
  }
}

/// A tenant with a burst of 1 and 0.5 requests/s; all requests of the fixture belong to it.
class LimitedTenant {
 public:
  explicit LimitedTenant(ProxyFixture& fixture) : limiter_(fixture.knobs(), {}, 1) {
    limiter_.set_limits(TenantDirectory::build({tenant_}).value());
    fill_buckets();
    fixture.tenant = &tenant_;
    fixture.limit_rate(limiter_);
  }

 private:
  /// Ticks the limiter through 20 simulated seconds, which fills its token buckets.
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

int last_event_id(const net::ExchangePtr& exchange) {
  const std::string value(exchange->request().headers.get("Last-Event-Id"));
  return value.empty() ? 0 : std::stoi(value);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(online_proxy)

BOOST_AUTO_TEST_CASE(an_answer_is_forwarded_unchanged_and_the_target_replica_is_set) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  fixture.directory.upsert(replica.record("lm"), {});
  const auto outcome = fixture.send_request({{"Deadline-Ms", "900"}});
  BOOST_TEST(!outcome.failure);
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(outcome.body == "whole");
  BOOST_TEST(outcome.head.headers.get("Response-Signature") == "signed");
  BOOST_TEST(replica.last().headers.get("Target-Instance") == "r1");
  BOOST_TEST(std::stoi(std::string(replica.last().headers.get("Deadline-Ms"))) <= 900);
  BOOST_TEST(fixture.in_flight() == 0U);
  BOOST_TEST(fixture.directory.find("r1")->online == 0);
}

// Guards against sound requests that are refused since a few replicas crashed just before.
BOOST_AUTO_TEST_CASE(a_request_passes_over_all_replicas_that_have_just_ended) {
  constexpr int kEnded = 10;
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "running", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  fixture.directory.upsert(replica.record("lm"), {});
  ReplicaRecord ended = replica.record("lm");
  for (int number = 0; number < kEnded; ++number) {
    ended.id = "ended-" + std::to_string(number);
    ended.address.port = static_cast<std::uint16_t>(kDeadPort + number);
    fixture.directory.upsert(ended, {});
  }
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(an_unexecuted_request_is_retried_elsewhere_then_refused) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort, refuse_unexecuted);
  fixture.directory.upsert(replica.record("lm"), {});
  ReplicaRecord dead = replica.record("lm");
  dead.id = "r2";
  dead.address.port = kDeadPort;
  fixture.directory.upsert(dead, {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.head.status == 503);
  BOOST_TEST(outcome.head.headers.has("Retry-After"));
  BOOST_TEST(!outcome.head.headers.has("Response-Signature"));
  BOOST_TEST(replica.requests() >= 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_miss_its_deadline_is_refused_then_served_on_retry) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  fixture.directory.upsert(replica.record("lm"), {});
  const std::uint32_t key = fixture.directory.find("r1")->key;
  const LoadDigest busy{node_key("n2"), 0, 0, false, 0, {{key, 60, 0, 0, 0}}};
  fixture.directory.set_peer_loads({busy}, net::steady_now());
  const auto refused = fixture.send_request({{"Deadline-Ms", "4000"}});
  BOOST_TEST(refused.head.status == 503);
  const double pause = std::stod(std::string(refused.head.headers.get("Retry-After")));
  BOOST_TEST(pause > 0.4);
  BOOST_TEST(pause < 4.0 / 3);
  BOOST_TEST(replica.requests() == 0);
  BOOST_TEST(fixture.send_request({{"Deadline-Ms", "3400"}}).head.status == 200);
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_possibly_executed_non_idempotent_request_is_not_retried) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  fixture.route().attempts = 3;
  const auto break_off = [](const net::ExchangePtr& exchange) { exchange->abort(); };
  StandInReplica first(fixture.loop, "r1", kFirstPort, break_off);
  StandInReplica second(fixture.loop, "r2", kSecondPort, break_off);
  fixture.directory.upsert(first.record("lm"), {});
  fixture.directory.upsert(second.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 502);
  BOOST_TEST(first.requests() + second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_with_a_broken_answer_is_retried_elsewhere) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kIdempotent;
  fixture.route().attempts = 2;
  int calls = 0;
  const auto break_once = [&](const net::ExchangePtr& exchange) {
    if (++calls == 1) {
      exchange->abort();
    } else {
      answer(exchange, "second");
    }
  };
  StandInReplica first(fixture.loop, "r1", kFirstPort, break_once);
  StandInReplica second(fixture.loop, "r2", kSecondPort, break_once);
  fixture.directory.upsert(first.record("lm"), {});
  fixture.directory.upsert(second.record("lm"), {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.body == "second");
  BOOST_TEST(first.requests() == 1);
  BOOST_TEST(second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_success_without_a_response_signature_is_not_forwarded) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(200, {}, "not an answer of the replica");
  });
  fixture.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 502);
}

BOOST_AUTO_TEST_CASE(an_unavailable_status_without_not_executed_is_not_forwarded) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(503, genuine_headers(exchange), "it ran");
  });
  fixture.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 502);
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_resumes_after_the_last_complete_event) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kStreaming;
  fixture.route().resumable = true;
  fixture.route().attempts = 2;
  const auto break_first_run = [](const net::ExchangePtr& exchange) {
    const int after = last_event_id(exchange);
    stream(exchange, after + 1, after == 0 ? 2 : 4, after > 0);
  };
  StandInReplica first(fixture.loop, "r1", kFirstPort, break_first_run);
  StandInReplica second(fixture.loop, "r2", kSecondPort, break_first_run);
  fixture.directory.upsert(first.record("lm"), {});
  fixture.directory.upsert(second.record("lm"), {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(!outcome.failure);
  BOOST_TEST(outcome.body ==
             "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\n");
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_is_reported_as_interrupted) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kStreaming;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [](const auto& exchange) { stream(exchange, 1, 2, false); });
  fixture.directory.upsert(replica.record("lm"), {});
  const auto outcome = fixture.send_request();
  BOOST_TEST_REQUIRE(outcome.failure.has_value());
  BOOST_TEST((*outcome.failure == net::CallFailure::kInterrupted));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  boost::asio::ip::tcp::acceptor acceptor(fixture.loop,
                                          {boost::asio::ip::make_address("127.0.0.1"), kFirstPort});
  boost::asio::ip::tcp::socket socket(fixture.loop);
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
  fixture.directory.upsert({"r1", "lm", {"127.0.0.1", kFirstPort}, "zone-a", 4, false, {}}, {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(outcome.body == "right");
}

BOOST_AUTO_TEST_CASE(a_request_times_out_at_the_route_timeout) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  fixture.route().timeout = std::chrono::milliseconds(100);
  std::vector<net::ExchangePtr> held;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [&](const auto& exchange) { held.push_back(exchange); });
  fixture.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 504);
  BOOST_TEST(fixture.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(a_silent_replica_counts_one_failure_if_the_request_cannot_be_retried) {
  ProxyFixture fixture(kFrontendPort);
  fixture.knobs().silence_minimum = std::chrono::milliseconds(30);
  RouteConfig& route = fixture.route();
  route.kind = RouteKind::kNonIdempotent;
  route.target = std::chrono::milliseconds(10);
  int rounds_of_silence = 0;
  net::ExchangePtr held;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [&](const auto& exchange) { held = exchange; });
  fixture.directory.upsert(replica.record("lm"), {});
  const auto failures = [&] { return fixture.directory.find("r1")->failures(net::steady_now()); };
  const net::RequestHead head{
      "POST", "/x/1", {{"Host", "a"}, {"Attempt-Id", "request-1"}, {"Content-Length", "0"}}};
  bool answered = false;
  net::SimpleCall::start(fixture.client, fixture.loop, {{"127.0.0.1", kFrontendPort}, "front"},
                         net::serialize(head), {}, std::chrono::seconds(30),
                         [&](const net::SimpleCall::Outcome&) { answered = true; });
  fixture.run_until([&] { return failures() > 0; });
  constexpr int kRounds = 20;
  fixture.run_until([&] { return ++rounds_of_silence > kRounds; });
  BOOST_TEST(failures() <= 1.0);
  answer(held, "late");
  fixture.run_until([&] { return answered; });
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_failure_status_from_a_replica_is_forwarded_and_counted) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort, [](const net::ExchangePtr& exchange) {
    exchange->respond(500, genuine_headers(exchange), "broken");
  });
  fixture.directory.upsert(replica.record("lm"), {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.head.status == 500);
  BOOST_TEST(outcome.body == "broken");
  BOOST_TEST(fixture.directory.find("r1")->failures(net::steady_now()) > 0.5);
  BOOST_TEST(fixture.directory.find("r1")->failures_in_row == 0);
}

BOOST_AUTO_TEST_CASE(the_replica_connection_is_closed_when_the_caller_disconnects) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  std::vector<net::ExchangePtr> held;
  bool replica_saw_close = false;
  StandInReplica replica(fixture.loop, "r1", kFirstPort, [&](const net::ExchangePtr& exchange) {
    exchange->on_client_gone([&] { replica_saw_close = true; });
    held.push_back(exchange);
  });
  fixture.directory.upsert(replica.record("lm"), {});
  const net::RequestHead head{
      "POST", "/x/1", {{"Host", "a"}, {"Attempt-Id", "request-1"}, {"Content-Length", "0"}}};
  const auto call = net::SimpleCall::start(
      fixture.client, fixture.loop, {{"127.0.0.1", kFrontendPort}, "front"}, net::serialize(head),
      {}, std::chrono::seconds(5), [](const net::SimpleCall::Outcome&) {});
  fixture.run_until([&] { return !held.empty(); });
  call->cancel();
  fixture.run_until([&] { return replica_saw_close; });
  BOOST_TEST(fixture.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(in_flight_idempotent_requests_move_when_a_replica_restarts) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kIdempotent;
  fixture.route().attempts = 2;
  StandInReplica other(fixture.loop, "r2", kSecondPort,
                       [](const auto& exchange) { answer(exchange, "whole"); });
  StandInReplica silent(fixture.loop, "r1", kFirstPort, [&](const auto&) {
    fixture.directory.upsert(other.record("lm"), {});
    fixture.directory.end_incarnation("r1", net::steady_now());
  });
  fixture.directory.upsert(silent.record("lm"), {});
  BOOST_TEST(fixture.send_request().body == "whole");
  BOOST_TEST(silent.requests() == 1);
  BOOST_TEST(other.requests() == 1);
}

BOOST_AUTO_TEST_CASE(in_flight_non_idempotent_requests_fail_when_a_replica_restarts) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  StandInReplica silent(fixture.loop, "r1", kFirstPort, [&](const auto&) {
    fixture.directory.end_incarnation("r1", net::steady_now());
  });
  fixture.directory.upsert(silent.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 502);
  BOOST_TEST(silent.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_request_over_the_tenant_rate_is_refused_before_dispatch) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kIdempotent;
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  fixture.directory.upsert(replica.record("lm"), {});
  const LimitedTenant limited(fixture);
  BOOST_TEST(fixture.send_request().head.status == 200);
  const auto refused = fixture.send_request();
  BOOST_TEST(refused.head.status == 429);
  BOOST_TEST(std::stod(std::string(refused.head.headers.get("Retry-After"))) > 0);
  BOOST_TEST(replica.requests() == 1);
}

BOOST_AUTO_TEST_CASE(an_unexecuted_refusal_does_not_count_against_the_rate) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  const LimitedTenant limited(fixture);
  BOOST_TEST(fixture.send_request().head.status == 503);  // No replica is available.
  StandInReplica replica(fixture.loop, "r1", kFirstPort,
                         [](const auto& exchange) { answer(exchange, "whole"); });
  fixture.directory.upsert(replica.record("lm"), {});
  BOOST_TEST(fixture.send_request().head.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
