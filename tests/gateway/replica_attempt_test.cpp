#include "gateway/replica_attempt.hpp"

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_surroundings.hpp"
#include "net/clock.hpp"
#include "net/http_server.hpp"

using namespace dockpoint;

namespace {

constexpr std::uint16_t kPort = 28'404;
const std::string kReplica = "replica";
const std::string kZone = "zone-a";

/// A replica that answers each request, and an attempt to send it one over a new connection.
struct Fixture : test::GatewaySurroundings, net::CallObserver {
  int received = 0;
  int answered = 0;
  int not_sent = 0;
  net::HttpServer server{loop, [this](const net::ExchangePtr& exchange) {
                           ++received;
                           exchange->respond(200, {}, {});
                         }};
  ReplicaAttempt attempt{context, TrafficClass::kOnline};

  Fixture() {
    server.listen("127.0.0.1:" + std::to_string(kPort));
    put_replica(false);
  }

  void put_replica(bool draining) {
    ReplicaRecord record;
    record.id = kReplica;
    record.service = "lm";
    record.zone = kZone;
    record.address = {"127.0.0.1", kPort};
    record.slots = 4;
    record.draining = draining;
    directory.upsert(record, net::steady_now());
  }
  void start() {
    const net::RequestHead head{"GET", "/", {{"Host", kReplica}}};
    attempt.start(*directory.find(kReplica), net::serialize(head), 0, *this);
  }
  void run_until_ended() {
    while (answered + not_sent == 0) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    // A request that was sent after all would arrive now.
    while (loop.poll() > 0) {
    }
  }

  bool on_head(const net::ResponseHead& /*head*/) override { return true; }
  void on_body(std::string_view /*bytes*/) override {}
  void on_complete(net::ResponseEnd /*end*/) override { ++answered; }
  void on_failure(net::CallFailure failure) override {
    not_sent += failure == net::CallFailure::kNotSent ? 1 : 0;
    attempt.signal(ReplicaSignal::kUnreachable, net::steady_now());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_attempt, Fixture)

BOOST_AUTO_TEST_CASE(a_request_is_sent_when_its_connection_is_ready) {
  start();
  run_until_ended();
  BOOST_TEST(received == 1);
  BOOST_TEST(answered == 1);
}

// The request reached the replica later than its drain by the time that the connection took.
BOOST_AUTO_TEST_CASE(a_replica_that_drains_while_the_connection_is_set_up_gets_no_request) {
  start();
  put_replica(true);
  run_until_ended();
  BOOST_TEST(received == 0);
  BOOST_TEST(not_sent == 1);
}

BOOST_AUTO_TEST_CASE(a_replica_that_leaves_while_the_connection_is_set_up_gets_no_request) {
  start();
  directory.remove(kReplica);
  run_until_ended();
  BOOST_TEST(received == 0);
  BOOST_TEST(not_sent == 1);
}

BOOST_AUTO_TEST_CASE(a_zone_evacuated_while_the_connection_is_set_up_gets_no_request) {
  start();
  directory.evacuations().change(kZone, true, 1);
  run_until_ended();
  BOOST_TEST(received == 0);
  BOOST_TEST(not_sent == 1);
  BOOST_TEST(!directory.ejected(*directory.find(kReplica), net::steady_now()),
             "a replica that did not fail was ejected");
}

BOOST_AUTO_TEST_SUITE_END()
