/// Tests that dockpointd takes no answer with a broken head for one, and that bytes without end
/// cost it bounded memory.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <thread>

#include "http/engine_stream.hpp"
#include "http/http_session.hpp"
#include "support/broken_heads.hpp"
#include "support/flooding_replica.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kServerPort = 28'263;
constexpr std::uint16_t kFloodPort = 28'264;
const std::string kServer = "127.0.0.1:28263";
const std::string kFlood = "127.0.0.1:28264";
const std::string kChunkedJson = "2\r\n{}\r\n0\r\n\r\n";
const std::string kChunkedEvents = "10\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// Bytes after which a flood has to have been ended, with what the sockets between hold.
constexpr std::uint64_t kToleratedBytes = 32 * 1024 * 1024;

/// Servers on a thread of their own.
struct Fixture {
  boost::asio::io_context loop;
  std::mutex mutex;
  std::string answer;
  AnswerEnding ending = AnswerEnding::kCloses;
  RawReplica server{loop, "server", kServerPort, [this](const std::string&) {
                      const std::lock_guard<std::mutex> lock(mutex);
                      return RawReplica::Answer{answer, ending};
                    }};
  std::optional<FloodingReplica> flood;
  HttpSessionPool sessions{std::chrono::seconds(5)};
  std::thread thread;

  void start() {
    thread = std::thread([this] { loop.run(); });
  }
  void answer_with(std::string bytes) {
    const std::lock_guard<std::mutex> lock(mutex);
    answer = std::move(bytes);
  }
  /// Stops the servers, so that the test may read what they have counted.
  void stop() {
    loop.stop();
    if (thread.joinable()) {
      thread.join();
    }
    loop.restart();
  }
  ~Fixture() { stop(); }
};

HttpExchange request_to(const std::string& address) {
  HttpExchange request;
  request.address = address;
  request.method = "POST";
  request.path = "/";
  return request;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(broken_engine_answers, Fixture)

BOOST_AUTO_TEST_CASE(an_exchange_with_a_broken_head_has_no_answer) {
  start();
  for (const BrokenHead& head : broken_heads()) {
    for (const std::string provisional : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      BOOST_TEST_CONTEXT(head.name) {
        answer_with(provisional +
                    head.with("Content-Type: application/json\r\nConnection: close\r\n") + "{}");
        const HttpOutcome outcome = exchange(sessions, request_to(kServer));
        BOOST_TEST(!outcome.answer.has_value());
        BOOST_TEST(outcome.failure.sent);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_with_a_broken_head_is_not_opened) {
  start();
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      answer_with(head.with("Content-Type: text/event-stream\r\n") + kChunkedEvents);
      EngineStream stream(sessions, kServer);
      BOOST_TEST((stream.open(request_to(kServer), "r1") == EngineStream::Status::kBroken));
    }
  }
}

BOOST_AUTO_TEST_CASE(sound_answers_are_read_on_one_connection_after_another) {
  ending = AnswerEnding::kKeepsOpen;
  start();
  for (const std::string provisional :
       {"", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"}) {
    answer_with(provisional + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                kChunkedJson);
    const HttpOutcome outcome = exchange(sessions, request_to(kServer));
    BOOST_REQUIRE(outcome.answer.has_value());
    BOOST_TEST(outcome.answer->body == "{}");
  }
}

// Guards against memory that grows with a line of a stream that does not end.
BOOST_AUTO_TEST_CASE(a_line_of_a_stream_without_end_is_ended) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  for (const bool after_the_last_event : {false, true}) {
    flood.emplace(loop, "flood", kFloodPort, head + (after_the_last_event ? "data: [DONE]\n" : ""),
                  [](std::uint64_t) { return std::string(4'000, 'x'); });
    start();
    std::string data;
    {
      EngineStream stream(sessions, kFlood);
      BOOST_REQUIRE((stream.open(request_to(kFlood), "r1") == EngineStream::Status::kOk));
      const EngineStream::Status status = stream.next(data);
      if (after_the_last_event) {
        BOOST_TEST((status == EngineStream::Status::kEnd));
        stream.close();
      } else {
        BOOST_TEST((status == EngineStream::Status::kBroken));
      }
    }
    stop();
    BOOST_TEST(flood->bytes_sent() <= kToleratedBytes);
    flood.reset();
  }
}

// Guards against memory that grows with each large answer that is held.
BOOST_AUTO_TEST_CASE(large_answers_share_one_bound_and_small_ones_are_read_beside_them) {
  flood.emplace(loop, "flood", kFloodPort,
                "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\nConnection: close\r\n\r\n",
                [](std::uint64_t) { return std::string(16'000, 'x'); });
  answer_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  start();
  std::vector<HttpOutcome> held;
  std::size_t held_bytes = 0;
  for (int number = 0; number < 4; ++number) {
    held.push_back(exchange(sessions, request_to(kFlood)));
    held_bytes += held.back().answer ? held.back().answer->body.size() : 0;
  }
  BOOST_TEST(held.front().answer.has_value());
  BOOST_TEST(held_bytes <= HttpExchange{}.maximum_answer_bytes);
  BOOST_TEST(exchange(sessions, request_to(kServer)).answer.has_value());
  held.clear();
  BOOST_TEST(exchange(sessions, request_to(kFlood)).answer.has_value());
}

// Guards against lines without an event that come without end.
BOOST_AUTO_TEST_CASE(a_stream_without_events_is_ended) {
  flood.emplace(loop, "flood", kFloodPort,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
                [](std::uint64_t) { return ": " + std::string(4'000, 'x') + "\n\n"; });
  start();
  EngineStream stream(sessions, kFlood);
  BOOST_REQUIRE((stream.open(request_to(kFlood), "r1") == EngineStream::Status::kOk));
  std::string data;
  BOOST_TEST((stream.next(data) == EngineStream::Status::kBroken));
  stop();
  BOOST_TEST(flood->bytes_sent() <= kToleratedBytes);
}

BOOST_AUTO_TEST_SUITE_END()
