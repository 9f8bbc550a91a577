/// Tests that a batch item reaches replicas as one request, whatever its caller states.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kReplicaPort = 28'198;

/// A whole request, and the beginning of another one, behind the end of a request line or field.
const std::string kSecondRequest =
    " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\nPOST /batch/2";

struct Fixture : JobFixture {
  StandInReplica replica{loop, "r1", kReplicaPort, [](const net::ExchangePtr& exchange) {
                           exchange->respond(200, genuine_headers(exchange), "id: 1\ndata: a\n\n");
                         }};

  Fixture() {
    add_replica(kReplicaPort);
    start();
    submit();
    BOOST_TEST(text_of_item() == "a");
  }

  /// @return the answer to a job of one item.
  net::SimpleCall::Outcome submit_item(const nlohmann::json& item) {
    return call("POST", "/batch/x", nlohmann::json{{"requests", {item}}}.dump(), "odd");
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(smuggled_requests, Fixture)

// Guards against a request in the path of an item that a replica runs beside it.
BOOST_AUTO_TEST_CASE(a_job_whose_items_cannot_be_sent_as_one_request_is_rejected) {
  const std::string id = "item";
  const std::string path = "/batch/1";
  const std::vector<nlohmann::json> items{
      {{"id", id}, {"path", path + kSecondRequest}},
      {{"id", id}, {"path", path + " "}},
      {{"id", id}, {"path", path + "\n"}},
      {{"id", id}, {"path", path + "\r"}},
      {{"id", id}, {"path", path + std::string("\0", 1)}},
      {{"id", id}, {"path", path + "\x7f"}},
      {{"id", id + "\r\nAttempt-Id: other"}, {"path", path}},
      {{"id", id + "\n"}, {"path", path}},
      {{"id", " " + id}, {"path", path}},
      {{"id", id + "\t"}, {"path", path}},
      {{"id", id}, {"path", path}, {"headers", {{"X", "a\r\n\r\nPOST / HTTP/1.1"}}}},
      {{"id", id}, {"path", path}, {"headers", {{"X", "a\nY: b"}}}},
      {{"id", id}, {"path", path}, {"headers", {{"X Y", "a"}}}},
      {{"id", id}, {"path", path}, {"headers", {{"X\r\nY", "a"}}}},
      {{"id", id}, {"path", path}, {"headers", {{"", "a"}}}}};
  const int before = replica.requests();
  for (const nlohmann::json& item : items) {
    BOOST_TEST_CONTEXT(item.dump()) {
      const auto outcome = submit_item(item);
      BOOST_TEST(outcome.head.status == 400);
      BOOST_TEST(outcome.body.find("malformed_body") != std::string::npos);
    }
  }
  BOOST_TEST(replica.requests() == before);
}

BOOST_AUTO_TEST_CASE(unusual_paths_and_headers_that_are_one_request_are_sent_unchanged) {
  const std::string path = "/batch/a%20b?c=d&e=\xc3\xa9#f";
  BOOST_TEST(submit_item({{"id", "a b"},
                          {"path", path},
                          {"headers",
                           {{"X-Odd!", "a:  b\t\xc3\xa9"},
                            {"Content-Length", "999"},
                            {"Transfer-Encoding", "chunked"},
                            {"Connection", "Attempt-Id"}}}})
                 .head.status == 202);
  BOOST_TEST(wait_for_results("odd", 1, std::chrono::seconds(10)).size() == 1U);
  BOOST_TEST(replica.last().target == path);
  BOOST_TEST(replica.last().headers.get("Attempt-Id") == "a b");
  BOOST_TEST(replica.last().headers.get("X-Odd!") == "a:  b\t\xc3\xa9");
  BOOST_TEST(replica.last().headers.get("Content-Length") == "0");
  BOOST_TEST(!replica.last().headers.has("Transfer-Encoding"));
}

// Guards against items that a build without the check has accepted.
BOOST_AUTO_TEST_CASE(an_item_in_the_log_that_cannot_be_sent_as_one_request_is_given_up) {
  BatchJob job{"old", "a.example", "/batch/", net::unix_now_ms(), {}};
  job.items.push_back({"item", "/batch/1" + kSecondRequest, {}, {}});
  const int before = replica.requests();
  const TopicPartition partition{platform::PlatformFleet::batch_topics().jobs,
                                 job_partition(job.id, GatewayNode::kPartitions)};
  store.log.append(partition, job_records(job, 1024), std::nullopt, [](const AppendOutcome&) {});
  const nlohmann::json results = wait_for_results("old", 1, std::chrono::seconds(10));
  BOOST_TEST_REQUIRE(results.size() == 1U);
  BOOST_TEST(results[0]["state"] == "dead_lettered");
  BOOST_TEST(replica.requests() == before);
}

BOOST_AUTO_TEST_SUITE_END()
