/// Tests that answers with a head that no HTTP receiver accepts count as no answer where they come
/// from the log, from another node or to a probe.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "emulator/memory_log.hpp"
#include "gateway/batch_service.hpp"
#include "gateway/gateway_surroundings.hpp"
#include "gateway/http_record_transport.hpp"
#include "gateway/process_check.hpp"
#include "net/clock.hpp"
#include "platform/store_log.hpp"
#include "support/broken_heads.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kServerPort = 28'411;
constexpr std::uint16_t kFrontendPort = 28'412;
constexpr int kPartitions = 3;
constexpr Duration kLimit = std::chrono::seconds(2);

const std::string kServerAddress = "127.0.0.1:" + std::to_string(kServerPort);

/// A server that answers each request with the same bytes and then closes the connection.
struct Fixture : GatewaySurroundings {
  std::string answer;
  RawReplica server{loop, "server", kServerPort, [this](const std::string&) {
                      return RawReplica::Answer{answer, AnswerEnding::kCloses};
                    }};

  /// Sets the answer: a broken head in front of a body that would do.
  void answer_with(const BrokenHead& head, const std::string& fields, const std::string& body) {
    answer = head.with(fields + "Transfer-Encoding: chunked\r\n") + net::as_chunk(body) +
             net::as_chunk({});
  }

  void run_until(const std::function<bool()>& done) {
    while (!done()) {
      loop.run_one_for(std::chrono::milliseconds(5));
      client.tick(net::steady_now());
    }
  }
};

/// A node whose partitions all belong to the server, and which cannot reach the log.
struct ForwardingFixture : Fixture {
  MemoryLog log{{kPartitions, 256 * 1024, 2 * 1024 * 1024, std::chrono::seconds(1)}, 3};
  std::optional<BatchService> batch;
  RouteConfig route;
  net::HttpServer frontend{loop, [this](const net::ExchangePtr& exchange) { serve(exchange); }};

  ForwardingFixture() {
    log.faults.down = true;
    context.peers_reaching_log = [] { return std::vector<std::string>{kServerAddress}; };
    batch.emplace(context, log, BatchTopics{"jobs", "results", "reservations", "group"},
                  BatchMemberName{"127.0.0.9:1", 1}, 1);
    batch->suggest_owners({{0, kServerAddress}, {1, kServerAddress}, {2, kServerAddress}});
    route.kind = RouteKind::kBatch;
    frontend.listen("127.0.0.1:" + std::to_string(kFrontendPort));
  }

  void serve(const net::ExchangePtr& exchange) {
    if (const auto call = protocol.read_job_call(exchange->request())) {
      batch->handle(exchange, *call, false);
    } else {
      batch->submit(exchange, route, std::nullopt);
    }
  }

  net::SimpleCall::Outcome call(const std::string& method, const std::string& target,
                                const std::string& body) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "job"},
                               {"Content-Length", std::to_string(body.size())}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(client, loop, {{"127.0.0.1", kFrontendPort}, "caller"},
                           net::serialize(net::RequestHead{method, target, headers}) + body, {},
                           std::chrono::seconds(10),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    run_until([&] {
      batch->tick(net::steady_now());
      log.advance(net::steady_now());
      return result.has_value();
    });
    return std::move(*result);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_peer_answers)

BOOST_FIXTURE_TEST_CASE(a_broken_answer_of_the_log_confirms_nothing, Fixture) {
  platform::StoreLog log(loop, client, {"127.0.0.1", kServerPort}, LogLimits{});
  const TopicPartition partition{"topic", 0};
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(
          head, {},
          R"({"offset":1,"end":2,"requests":[],"hasMore":false,"generation":1,"parts":[]})");
      int answers = 0;
      const auto check = [&](LogStatus status) {
        ++answers;
        BOOST_TEST((status == LogStatus::kUnknown));
      };
      log.append(partition, {{"key", "value", 0}}, std::nullopt,
                 [&](const AppendOutcome& outcome) { check(outcome.status); });
      log.newest(partition, "", [&](const NewestOutcome& outcome) { check(outcome.status); });
      log.read(partition, 0, {kLimit, kLimit},
               [&](const ReadOutcome& outcome) { check(outcome.status); });
      log.owners("group", [&](const OwnersOutcome& outcome) { check(outcome.status); });
      log.join("group", "member", {"topic"}, kLimit, 0,
               [&](const JoinOutcome& outcome) { check(outcome.status); });
      constexpr int kCalls = 5;
      run_until([&] { return answers == kCalls; });
    }
  }
}

BOOST_FIXTURE_TEST_CASE(a_broken_answer_of_an_owner_is_not_passed_on, ForwardingFixture) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(head, {}, R"({"total":1,"nextToken":0,"results":[]})");
      const auto outcome = call("GET", "/v1/lots/job?sinceRevision=0", {});
      BOOST_TEST(!outcome.failure.has_value());
      BOOST_TEST(outcome.head.status == 503);
      BOOST_TEST(outcome.body.empty());
    }
  }
}

// Guards against a job that a caller takes for accepted, or for refused, while nobody knows.
BOOST_FIXTURE_TEST_CASE(a_broken_answer_to_a_forwarded_job_neither_accepts_nor_refuses_it,
                        ForwardingFixture) {
  const std::string job = R"({"requests":[{"id":"i1","path":"/batch/1"}]})";
  const std::vector<BrokenHead> heads{
      {"status 000", "HTTP/1.1 000 OK"},
      {"accepted, with a blank in a name", "HTTP/1.1 202 Accepted", "X Broken: yes"},
      {"refused, with a blank in a name", "HTTP/1.1 503 Service Unavailable", "X Broken: yes"}};
  for (const BrokenHead& head : heads) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(head, {}, {});
      const auto outcome = call("POST", "/batch/x", job);
      BOOST_TEST(!outcome.failure.has_value());
      BOOST_TEST(outcome.head.status == 504);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(a_broken_answer_of_a_relay_holds_no_records, Fixture) {
  HttpRecordTransport transport(loop, client);
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(head, {}, pack(RecordAnswer{}));
      std::optional<RecordReply> reply;
      transport.ask(kServerAddress, {}, kLimit, [&](RecordReply received) { reply = received; });
      run_until([&] { return reply.has_value(); });
      BOOST_TEST(!reply->answer.has_value());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(a_broken_answer_to_a_probe_does_not_confirm_a_process, Fixture) {
  RoutingConfiguration configuration;
  configuration.services["lm"].health_path = "/health";
  context.configuration = std::make_shared<RoutingConfiguration>(std::move(configuration));
  const ReplicaProcess process{{{"127.0.0.1", kServerPort}, "r1"}, "r1", "lm"};
  const auto owner = std::make_shared<int>();
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(head, "Instance-Id: r1\r\n", {});
      std::optional<ProcessState> state;
      check_process(context, process, std::chrono::milliseconds(20), owner,
                    [&](ProcessState found) { state = found; });
      run_until([&] { return state.has_value(); });
      BOOST_TEST((*state == ProcessState::kUnknown));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
