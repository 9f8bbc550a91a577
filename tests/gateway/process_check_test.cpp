/// Tests what proves that the process that ran a request still runs.

#include "gateway/process_check.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_surroundings.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kPort = 28'405;
constexpr Duration kObservation = std::chrono::milliseconds(20);
const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct Fixture : GatewaySurroundings {
  AnswerEnding ending = AnswerEnding::kKeepsOpen;
  std::optional<RawReplica> replica;
  const std::shared_ptr<int> owner = std::make_shared<int>();
  ReplicaProcess process{{{"127.0.0.1", kPort}, "r1"}, "r1", "lm"};

  Fixture() {
    replica.emplace(loop, "r1", kPort, [this](const std::string&) {
      return RawReplica::Answer{kAnswer, ending};
    });
    set_health_path("/healthz");
  }
  void set_health_path(const std::string& path) {
    RoutingConfiguration configuration;
    configuration.services["lm"].health_path = path;
    context.configuration = std::make_shared<RoutingConfiguration>(std::move(configuration));
  }
  /// Starts a request on a connection of its own.
  void start_request(int& answers) {
    const net::RequestHead head{"GET", "/", {{"Host", "r1"}}};
    net::SimpleCall::start(client, loop, process.endpoint, net::serialize(head), {},
                           std::chrono::seconds(1),
                           [&answers](const net::SimpleCall::Outcome&) { ++answers; });
  }
  /// Leaves a connection to the replica idle.
  void keep_connection() {
    int answers = 0;
    start_request(answers);
    while (answers == 0) {
      loop.run_one();
    }
  }
  /// The request whose process is checked is sent now.
  void note_send() { process.newest_connection = client.counts().connections; }
  ProcessState check() {
    std::optional<ProcessState> state;
    check_process(context, process, kObservation, owner,
                  [&](ProcessState found) { state = found; });
    while (!state) {
      loop.run_one();
    }
    return *state;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(process_check, Fixture)

BOOST_AUTO_TEST_CASE(a_connection_that_stays_open_proves_that_the_process_runs) {
  replica->answers_health_checks = false;
  keep_connection();
  note_send();
  BOOST_TEST((check() == ProcessState::kRuns));
}

// It may have been made to the process that has the address now.
BOOST_AUTO_TEST_CASE(a_connection_made_after_the_request_proves_nothing) {
  replica->answers_health_checks = false;
  note_send();
  keep_connection();
  BOOST_TEST((check() == ProcessState::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_process_that_closes_its_connections_is_asked_for_its_name) {
  keep_connection();
  note_send();
  std::optional<ProcessState> state;
  check_process(context, process, kObservation, owner, [&](ProcessState found) { state = found; });
  // Another process has the address.
  replica.reset();
  replica.emplace(loop, "r2", kPort, [](const std::string&) {
    return RawReplica::Answer{kAnswer, {}};
  });
  while (!state) {
    loop.run_one();
  }
  BOOST_TEST((*state == ProcessState::kEnded));
}

BOOST_AUTO_TEST_CASE(without_other_connections_the_name_decides) {
  BOOST_TEST((check() == ProcessState::kRuns));
  replica->answers_health_checks = false;
  BOOST_TEST((check() == ProcessState::kUnknown));
  replica.reset();
  BOOST_TEST((check() == ProcessState::kEnded));
}

BOOST_AUTO_TEST_CASE(without_health_checks_a_listener_decides) {
  set_health_path("");
  BOOST_TEST((check() == ProcessState::kRuns));
  replica.reset();
  BOOST_TEST((check() == ProcessState::kEnded));
}

BOOST_AUTO_TEST_CASE(nothing_is_reported_to_an_owner_that_is_gone) {
  bool reported = false;
  check_process(context, process, kObservation, std::make_shared<int>(),
                [&](ProcessState) { reported = true; });
  loop.run_for(std::chrono::milliseconds(100));
  BOOST_TEST(!reported);
}

BOOST_AUTO_TEST_SUITE_END()
