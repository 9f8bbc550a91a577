#include "net/http_client.hpp"

#include <boost/test/unit_test.hpp>

#include "net/http_server.hpp"

using namespace dockpoint;

namespace {

constexpr std::uint16_t kPort = 28'402;
constexpr int kIdleConnections = 3;

/// A server that either responds or accepts requests without responding, and a client for it.
struct Fixture {
  boost::asio::io_context loop{1};
  bool silent = false;
  std::vector<net::ExchangePtr> unanswered;
  net::HttpServer server{loop, [this](const net::ExchangePtr& exchange) {
                           if (silent) {
                             unanswered.push_back(exchange);
                           } else {
                             exchange->respond(200, {}, {});
                           }
                         }};
  net::HttpClient client{loop};
  int answered = 0;
  int failed = 0;

  Fixture() { server.listen("127.0.0.1:" + std::to_string(kPort)); }

  void call() {
    const net::Endpoint endpoint{{"127.0.0.1", kPort}, "server"};
    const net::RequestHead head{"GET", "/", {{"Host", "server"}}};
    net::SimpleCall::start(client, loop, endpoint, net::serialize(head), {},
                           std::chrono::milliseconds(300),
                           [this](const net::SimpleCall::Outcome& outcome) {
                             ++(outcome.failure ? failed : answered);
                           });
  }
  void run_until_ended(int calls) {
    while (answered + failed < calls) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_client, Fixture)

// All open connections to a node may permanently stop responding at once while new ones work. Each
// call that reused another of these connections waited for its full timeout.
BOOST_AUTO_TEST_CASE(a_timed_out_call_closes_the_other_idle_connections) {
  for (int calls = 0; calls < kIdleConnections; ++calls) {
    call();
  }
  run_until_ended(kIdleConnections);
  BOOST_TEST(client.counts().connections == std::uint64_t{kIdleConnections});
  silent = true;
  call();
  run_until_ended(kIdleConnections + 1);
  BOOST_TEST(failed == 1);
  BOOST_TEST(client.counts().connections == std::uint64_t{kIdleConnections});
  silent = false;
  call();
  run_until_ended(kIdleConnections + 2);
  BOOST_TEST(answered == kIdleConnections + 1);
  BOOST_TEST(client.counts().connections == std::uint64_t{kIdleConnections + 1});
}

BOOST_AUTO_TEST_SUITE_END()
