#include "platform/store_log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "net/http_server.hpp"

using namespace dockpoint;

namespace {

constexpr std::uint16_t kSilentPort = 28'401;

}  // namespace

BOOST_AUTO_TEST_SUITE(store_log)

BOOST_AUTO_TEST_CASE(a_pending_call_is_not_completed_after_its_log_is_destroyed) {
  boost::asio::io_context loop(1);
  // Connections are accepted by the kernel but never answered.
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                kSilentPort);
  const boost::asio::ip::tcp::acceptor silent(loop, endpoint);
  net::HttpClient client(loop);
  int destroyed_log_answers = 0;
  int remaining_log_answers = 0;
  const auto request_owners = [](platform::StoreLog& log, int& answers) {
    log.owners("group", [&](const OwnersOutcome&) { ++answers; });
  };
  platform::StoreLog remaining_log(loop, client, {"127.0.0.1", kSilentPort}, LogLimits{});
  auto destroyed_log = std::make_unique<platform::StoreLog>(
      loop, client, Address{"127.0.0.1", kSilentPort}, LogLimits{});
  request_owners(*destroyed_log, destroyed_log_answers);
  destroyed_log.reset();
  request_owners(remaining_log,
                 remaining_log_answers);  // Times out after the call of the destroyed log.
  while (remaining_log_answers == 0) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(remaining_log_answers == 1);
  BOOST_TEST(destroyed_log_answers == 0);
}

// Guards against uncaught exceptions: a field of an unexpected type once terminated the process.
BOOST_AUTO_TEST_CASE(an_unparsable_answer_yields_unknown_status) {
  constexpr std::uint16_t kPort = 28'403;
  boost::asio::io_context loop(1);
  std::string body;
  net::HttpServer server(
      loop, [&](const net::ExchangePtr& exchange) { exchange->respond(200, {}, body); });
  server.listen("127.0.0.1:" + std::to_string(kPort));
  net::HttpClient client(loop);
  platform::StoreLog log(loop, client, {"127.0.0.1", kPort}, LogLimits{});
  const std::vector<std::string> bodies{
      "",
      "[]",
      "{}",
      R"({"end":"x","hasMore":1,"requests":{},"generation":"x","parts":7,"offset":[]})",
      R"({"end":3,"generation":2,"offset":1,"requests":[{"key":7,"value":"YQ=="}],"parts":[[1]]})",
      R"({"end":3,"requests":[7],"generation":2,"parts":[{}],"rows":[["t","0","n"]]})"};
  const TopicPartition partition{"topic", 0};
  for (const std::string& text : bodies) {
    body = text;
    int answers = 0;
    log.newest(partition, "", [&](const NewestOutcome& outcome) {
      ++answers;
      BOOST_TEST((outcome.status == LogStatus::kUnknown), text);
      BOOST_TEST(outcome.records.empty(), text);
    });
    log.join("group", "member", {"topic"}, std::chrono::seconds(1), 0,
             [&](const JoinOutcome& outcome) {
               ++answers;
               BOOST_TEST((outcome.status == LogStatus::kUnknown), text);
             });
    log.owners("group", [&](const OwnersOutcome&) { ++answers; });
    log.append(partition, {}, std::nullopt, [&](const AppendOutcome&) { ++answers; });
    constexpr int kCalls = 4;
    while (answers < kCalls) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
  }
}

// Guards against a node that follows a topic no more since one record of another writer is odd.
BOOST_AUTO_TEST_CASE(an_odd_value_does_not_hide_the_other_records_of_a_page) {
  constexpr std::uint16_t kPort = 28'404;
  boost::asio::io_context loop(1);
  net::HttpServer server(loop, [](const net::ExchangePtr& exchange) {
    exchange->respond(200, {},
                      R"({"end":9,"hasMore":false,"requests":[{"key":"a","value":"YQ==","offset":1},
                          {"key":"b","value":"%%","offset":2},{"key":"c","value":[7],"offset":3},
                          {"key":"d","value":"ZA==","offset":4},{"key":"e","offset":5}]})");
  });
  server.listen("127.0.0.1:" + std::to_string(kPort));
  net::HttpClient client(loop);
  platform::StoreLog log(loop, client, {"127.0.0.1", kPort}, LogLimits{});
  std::optional<NewestOutcome> page;
  log.newest({"topic", 0}, "", [&](NewestOutcome outcome) { page = std::move(outcome); });
  while (!page) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST_REQUIRE((page->status == LogStatus::kOk));
  constexpr std::size_t kRecords = 5;
  BOOST_TEST_REQUIRE(page->records.size() == kRecords);
  BOOST_TEST(page->end == 9);
  BOOST_TEST(page->records[0].value == "a");
  BOOST_TEST(page->records[3].value == "d");
  // An empty value alone is a deletion.
  BOOST_TEST(!page->records[1].value.empty());
  BOOST_TEST(!page->records[2].value.empty());
  BOOST_TEST(page->records[4].value.empty());
}

BOOST_AUTO_TEST_SUITE_END()
