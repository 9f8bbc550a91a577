/// Tests that a call to any server (replica, log, peer, probe) whose answer has a broken head ends
/// as malformed, and that no part of the answer reaches the caller of the client.

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "support/broken_heads.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kPort = 28'175;
constexpr std::uint16_t kServerPort = 28'176;
const std::string kBody = "2\r\nhi\r\n0\r\n\r\n";

/// A client, and a server that answers with given bytes and closes the connection.
struct Fixture {
  boost::asio::io_context loop{1};
  std::string answer;
  AnswerEnding ending = AnswerEnding::kCloses;
  RawReplica server{loop, "server", kPort, [this](const std::string&) {
                      return RawReplica::Answer{answer, ending};
                    }};
  net::HttpClient client{loop};

  net::SimpleCall::Outcome call() {
    std::optional<net::SimpleCall::Outcome> result;
    const net::RequestHead head{"GET", "/", {{"Host", "server"}}};
    net::SimpleCall::start(client, loop, {{"127.0.0.1", kPort}, "server"}, net::serialize(head), {},
                           std::chrono::seconds(2),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    while (!result) {
      loop.run_one_for(std::chrono::milliseconds(50));
    }
    return std::move(*result);
  }
};

/// What a parser makes of an answer that arrives in pieces of `size` bytes.
struct Parsed {
  net::ParseStatus status = net::ParseStatus::kNeedMore;
  int heads = 0;
  std::string body;
};

Parsed parse_in_pieces(std::string_view bytes, std::size_t size) {
  Parsed parsed;
  net::ResponseParser parser([&](const net::ResponseHead&) { ++parsed.heads; },
                             [&](std::string_view body) { parsed.body += body; });
  std::string buffer;
  while (!bytes.empty() && parsed.status == net::ParseStatus::kNeedMore) {
    buffer += bytes.substr(0, size);
    bytes.remove_prefix(std::min(size, bytes.size()));
    parsed.status = parser.feed(buffer);
  }
  return parsed;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(broken_heads_in_answers, Fixture)

BOOST_AUTO_TEST_CASE(a_call_with_a_broken_head_ends_as_malformed) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer = head.with({}) + kBody;
      const auto outcome = call();
      BOOST_TEST_REQUIRE(outcome.failure.has_value());
      BOOST_TEST((*outcome.failure == net::CallFailure::kMalformed));
      BOOST_TEST(outcome.head.status == 0);
      BOOST_TEST(outcome.body.empty());
    }
  }
}

// Guards against a broken head that passes for an answer that broke off, which may be a crash.
BOOST_AUTO_TEST_CASE(a_broken_head_after_a_provisional_answer_ends_as_malformed) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + head.with({}) + kBody;
      const auto outcome = call();
      BOOST_TEST_REQUIRE(outcome.failure.has_value());
      BOOST_TEST((*outcome.failure == net::CallFailure::kMalformed));
      BOOST_TEST(outcome.head.status == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_broken_head_is_found_for_every_fragmentation) {
  for (const BrokenHead& head : broken_heads()) {
    const std::string whole = head.with({}) + kBody;
    for (std::size_t size = 1; size <= whole.size(); ++size) {
      const Parsed parsed = parse_in_pieces(whole, size);
      BOOST_TEST((parsed.status == net::ParseStatus::kMalformed),
                 head.name << " in pieces of " << size);
      BOOST_TEST(parsed.heads == 0);
      BOOST_TEST(parsed.body.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(sound_heads_are_accepted_for_every_fragmentation) {
  const std::string chunked = "Transfer-Encoding: ";
  for (const std::string& head :
       {"HTTP/1.1 200 OK\r\n" + chunked + "chunked\r\n",
        "HTTP/1.1 200 OK\r\n" + chunked + "Chunked \r\n",
        "HTTP/1.1 299 \r\n" + chunked + "chunked\r\nX:\r\nY: \xe4\t!\r\n",
        "HTTP/1.1 599 Caf\xe9\r\n" + chunked + ", chunked,\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n" + chunked + "chunked\r\n"}) {
    const std::string whole = head + "\r\n" + kBody;
    for (std::size_t size = 1; size <= whole.size(); ++size) {
      const Parsed parsed = parse_in_pieces(whole, size);
      BOOST_TEST((parsed.status == net::ParseStatus::kDone), head << " in pieces of " << size);
      BOOST_TEST(parsed.heads == 1);
      BOOST_TEST(parsed.body == "hi");
    }
  }
}

// An answer that may have no body ends with its head, whatever its framing says.
BOOST_AUTO_TEST_CASE(codings_of_answers_without_body_do_not_matter) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    const Parsed parsed = parse_in_pieces(
        "HTTP/1.1 " + std::string(status) + "\r\nTransfer-Encoding: gzip\r\n\r\n", 1);
    BOOST_TEST((parsed.status == net::ParseStatus::kDone));
    BOOST_TEST(parsed.heads == 1);
  }
}

// A server must not write what a client refuses to read.
BOOST_AUTO_TEST_CASE(a_server_writes_no_broken_head) {
  const net::ResponseHead heads[] = {
      {0, {}, {}},
      {99, {}, {}},
      {101, {}, {}},
      {600, {}, {}},
      {200, "O\rK", {}},
      {200, {}, {{"X Broken", "yes"}}},
      {200, {}, {{"", "yes"}}},
      {200, {}, {{"X", "a\r\nY: z"}}},
      {200, {}, {{"X", std::string_view("a\0z", 3)}}},
  };
  std::size_t next = 0;
  net::HttpServer writer(loop, [&](const net::ExchangePtr& exchange) {
    const net::ResponseHead& head = heads[next / 2];
    if (next++ % 2 == 0) {
      exchange->respond(head.status, head.headers, "body");
    } else {
      exchange->begin(head);
      exchange->write("body");
      exchange->end();
    }
  });
  writer.listen("127.0.0.1:" + std::to_string(kServerPort));
  net::tcp::socket caller(loop);
  caller.connect({boost::asio::ip::make_address("127.0.0.1"), kServerPort});
  while (next < 2 * std::size(heads)) {
    const bool reason_only = !heads[next / 2].reason.empty() && next % 2 == 0;
    boost::asio::write(caller,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    loop.run_for(std::chrono::milliseconds(20));
    std::array<char, 1024> buffer{};
    const std::size_t count = caller.read_some(boost::asio::buffer(buffer));
    const std::string_view response(buffer.data(), count);
    const std::string expected =
        reason_only ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 502 Bad Gateway\r\n";
    BOOST_TEST(response.starts_with(expected), response);
    BOOST_TEST(response.find("Broken") == std::string::npos);
    BOOST_TEST((reason_only || response.find("body") == std::string::npos));
  }
}

BOOST_AUTO_TEST_SUITE_END()
