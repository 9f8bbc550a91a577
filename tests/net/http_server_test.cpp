#include "net/http_server.hpp"

#include <sys/resource.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace dockpoint;

namespace {

constexpr std::uint16_t kPort = 28'239;

struct Fixture {
  boost::asio::io_context loop{1};
  std::unique_ptr<net::HttpServer> server =
      std::make_unique<net::HttpServer>(loop, [](const net::ExchangePtr&) {});

  Fixture() { server->listen("127.0.0.1:" + std::to_string(kPort)); }

  net::tcp::socket connect() {
    net::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), kPort});
    return socket;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, Fixture)

BOOST_AUTO_TEST_CASE(an_accepted_connection_is_kept) {
  const net::tcp::socket client = connect();
  loop.run_one();
  BOOST_TEST(server->connections() == 1U);
}

// Regression: the handler of a connection that was already accepted used the destroyed server.
BOOST_AUTO_TEST_CASE(a_connection_accepted_before_the_server_is_destroyed_is_closed) {
  const net::tcp::socket first = connect();
  net::tcp::socket second = connect();
  loop.run_one();  // Accepts both; the handler of the second is now queued.
  server.reset();
  loop.poll();
  char byte = 0;
  boost::system::error_code error;
  second.read_some(boost::asio::buffer(&byte, 1), error);
  BOOST_TEST(bool(error));
}

// HTTP/1.0 clients read chunk sizes as a part of the body.
BOOST_AUTO_TEST_CASE(an_http_1_0_client_gets_no_chunks) {
  server.reset();
  server = std::make_unique<net::HttpServer>(loop, [](const net::ExchangePtr& exchange) {
    exchange->begin({200, {}, {}});
    exchange->write("first ");
    exchange->write("second");
    exchange->end();
  });
  server->listen("127.0.0.1:" + std::to_string(kPort));
  net::tcp::socket client = connect();
  boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
  loop.run_for(std::chrono::milliseconds(50));
  std::string response;
  boost::system::error_code end;
  boost::asio::read(client, boost::asio::dynamic_buffer(response), end);
  BOOST_TEST((end == boost::asio::error::eof));
  BOOST_TEST(response.ends_with("\r\n\r\nfirst second"));
  BOOST_TEST(response.find("Transfer-Encoding") == std::string::npos);
}

// The connection was closed with unread input, which resets it: the client could not read its
// answer.
BOOST_AUTO_TEST_CASE(a_client_that_sends_beyond_the_limit_reads_its_answer) {
  constexpr std::size_t kBodyBytes = 3 * 1024 * 1024;
  server->set_limits({16 * 1024, 64 * 1024});
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string body(kBodyBytes, 'x');
  for (const std::string& request :
       {head + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + body,
        head + "Transfer-Encoding: chunked\r\n\r\n" + net::as_chunk(body) + net::as_chunk({})}) {
    net::tcp::socket client = connect();
    std::string answer;
    bool ended = false;
    boost::asio::async_write(client, boost::asio::buffer(request), [&](const auto& error, auto) {
      BOOST_TEST(!error);
      boost::asio::async_read(client, boost::asio::dynamic_buffer(answer),
                              [&](const auto&, auto) { ended = true; });
    });
    while (!ended) {
      loop.run_one();
    }
    BOOST_TEST(answer.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_stalled_request_is_refused_with_a_time_to_come_back) {
  server.reset();
  net::ClientPool clients(loop, {144 * 1024, 10});
  server = std::make_unique<net::HttpServer>(
      loop, [](const net::ExchangePtr& exchange) { exchange->respond(200, {}, "ok"); }, clients);
  server->listen("127.0.0.1:" + std::to_string(kPort));
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n";
  net::tcp::socket stalled = connect();
  boost::asio::write(stalled, boost::asio::buffer(head + std::string(49'000, 'x')));
  loop.run_for(std::chrono::milliseconds(50));
  net::tcp::socket other = connect();
  boost::asio::write(other, boost::asio::buffer(head + std::string(49'000, 'x')));
  loop.run_for(std::chrono::milliseconds(50));
  net::tcp::socket ordinary = connect();
  boost::asio::write(ordinary, boost::asio::buffer(head + std::string(20'000, 'x')));
  loop.run_for(std::chrono::milliseconds(50));
  boost::asio::write(ordinary, boost::asio::buffer(std::string(30'000, 'x')));
  const auto answer_to = [&](net::tcp::socket& client) {
    std::string answer;
    boost::asio::async_read_until(client, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                  [](const auto&, auto) {});
    while (answer.find("\r\n\r\n") == std::string::npos) {
      loop.run_one();
    }
    return answer;
  };
  const std::string refusal = answer_to(stalled);
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(answer_to(ordinary).starts_with("HTTP/1.1 200 "));
  server.reset();  // It borrows the clients' pool.
}

// Accepting failed at once and was tried again at once, which used the whole processor.
BOOST_AUTO_TEST_CASE(accepting_rests_while_there_are_no_descriptors) {
  constexpr std::size_t kMaximumHandlers = 100;
  net::tcp::socket first = connect();
  net::tcp::socket second = connect();
  rlimit limit{};
  BOOST_TEST_REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlimit none{0, limit.rlim_max};
  BOOST_TEST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  const std::size_t handlers = loop.run_for(std::chrono::milliseconds(300));
  BOOST_TEST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  BOOST_TEST(handlers <= kMaximumHandlers);
  BOOST_TEST(server->connections() == 0U);
  while (server->connections() < 2) {
    loop.run_one();
  }
}

BOOST_AUTO_TEST_SUITE_END()
