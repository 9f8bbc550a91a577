/// Tests that an answer which a replica sends a second time is not taken for
/// the answer to a later send of the same request: both carry the request's id.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "platform/gateway_node.hpp"
#include "platform/replica_records.hpp"
#include "platform/stand_in_store.hpp"
#include "platform/stand_ins.hpp"
#include "platform/wire_names.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'141;
constexpr std::uint16_t kReplicaPort = 28'142;

std::string answer_with(const std::string& status_line, const std::string& headers,
                        const std::string& body) {
  return "HTTP/1.1 " + status_line + "\r\nAttempt-Id: request-1\r\nResponse-Signature: signed\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A replica that first answers that it did not run the request, or failed, and
/// then runs it. It sends each answer again, where the next one on its
/// connection is due.
class RepeatingReplica {
 public:
  RepeatingReplica(boost::asio::io_context& loop, std::string refusal, std::string success)
      : replica_(loop, "r1", kReplicaPort,
                 [this, refusal, success](const std::string& /*request*/) {
                   if (requests_++ == 0) {
                     return RawReplica::Answer{refusal, AnswerEnding::kKeepsOpen};
                   }
                   ++runs_;
                   return RawReplica::Answer{success, AnswerEnding::kKeepsOpen};
                 }) {
    replica_.repeats_answers = true;
  }
  ReplicaRecord record() const { return replica_.record("lm"); }
  int runs() const { return runs_; }

 private:
  int requests_ = 0;
  int runs_ = 0;
  RawReplica replica_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(repeated_answers)

// Guards against a request that is refused as not run, or runs twice, since an
// earlier refusal came again after the request was sent to the same replica
// once more.
BOOST_AUTO_TEST_CASE(a_refusal_that_comes_twice_is_not_taken_for_the_answer_to_the_next_send) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kNonIdempotent;
  const RepeatingReplica replica(fixture.loop,
                                 answer_with("503 Service Unavailable", "Not-Executed: 1\r\n", {}),
                                 answer_with("200 OK", {}, "done"));
  fixture.directory.upsert(replica.record(), {});
  const auto outcome = fixture.send_request();
  BOOST_TEST(outcome.head.status == 200);
  BOOST_TEST(outcome.body == "done");
  BOOST_TEST(replica.runs() == 1);
}

// Guards against an item that runs again, and is given up early, since one
// failure counted twice.
BOOST_AUTO_TEST_CASE(a_failure_of_an_item_that_comes_twice_counts_once) {
  boost::asio::io_context loop{1};
  StandInStore store{loop, GatewayNode::kStorePort, GatewayNode::kPartitions};
  net::HttpClient caller{loop};
  store.put(platform::kConfigurationTopic, platform::kConfigurationKey, route_configuration(3));
  const RepeatingReplica replica(
      loop, answer_with("500 Internal Server Error", {}, {}),
      answer_with("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"));
  store.put(platform::kReplicasTopic, "r1",
            replica_record("127.0.0.1:" + std::to_string(kReplicaPort)).dump());
  GatewayNode node(loop, 1);
  const auto call = [&](const std::string& method, const std::string& target,
                        const std::string& body) {
    const net::Headers headers{{"Host", "a.example"},
                               {"Attempt-Id", "job"},
                               {"Content-Length", std::to_string(body.size())}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(caller, loop, {*Address::parse(GatewayNode::address(1, 0)), "caller"},
                           net::serialize(net::RequestHead{method, target, headers}) + body, {},
                           std::chrono::seconds(5),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    while (!result) {
      loop.run_one_for(std::chrono::milliseconds(5));
      store.tick();
    }
    return std::move(*result);
  };
  const std::string job =
      R"({"requests":[{"id":"request-1","path":"/batch/1","headers":{},"body":"aGk="}]})";
  while (call("POST", "/batch/x", job).head.status != 202) {
  }
  nlohmann::json results = nlohmann::json::array();
  while (results.empty()) {
    const auto outcome = call("GET", "/v1/lots/job?sinceRevision=0", {});
    const auto page = nlohmann::json::parse(outcome.body, nullptr, false);
    results = outcome.head.status == 200 ? page["results"] : results;
  }
  BOOST_TEST(results[0]["state"] == "succeeded");
  BOOST_TEST(replica.runs() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
