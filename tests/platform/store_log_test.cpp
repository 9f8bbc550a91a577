#include "platform/store_log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_server.hpp"

using namespace dockpoint;

namespace {

constexpr std::uint16_t kSilentPort = 28'401;

}  // namespace

BOOST_AUTO_TEST_SUITE(store_log)

BOOST_AUTO_TEST_CASE(a_call_under_way_is_not_answered_once_its_log_is_gone) {
  boost::asio::io_context loop(1);
  // Connections are taken and never answered.
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                kSilentPort);
  const boost::asio::ip::tcp::acceptor silent(loop, endpoint);
  net::HttpClient client(loop);
  int answers_of_gone = 0;
  int answers_of_kept = 0;
  const auto ask = [](platform::StoreLog& log, int& answers) {
    log.owners("group", [&](const OwnersOutcome&) { ++answers; });
  };
  platform::StoreLog kept(loop, client, {"127.0.0.1", kSilentPort}, LogLimits{});
  auto gone = std::make_unique<platform::StoreLog>(loop, client, Address{"127.0.0.1", kSilentPort},
                                                   LogLimits{});
  ask(*gone, answers_of_gone);
  gone.reset();
  ask(kept, answers_of_kept);  // Its time limit comes after the other's.
  while (answers_of_kept == 0) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(answers_of_kept == 1);
  BOOST_TEST(answers_of_gone == 0);
}

// A field of another type than expected ended the process by an exception that nobody caught.
BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_read_is_unknown_and_changes_nothing) {
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
      R"({"end":3,"generation":2,"offset":1,"requests":[{"key":"a","value":"%%"}],"parts":[[1]]})",
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

BOOST_AUTO_TEST_SUITE_END()
