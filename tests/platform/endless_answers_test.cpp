/// Tests that a replica that sends bytes without end costs a bounded wait and bounded memory: this
/// side closes the connection, and the caller gets its answer from another replica or a failure.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/streaming/event_framer.hpp"
#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"
#include "support/flooding_replica.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'161;
constexpr std::uint16_t kFloodPort = 28'162;
constexpr std::uint16_t kSoundPort = 28'163;

/// Bytes after which a node has to have ended a flood: the largest answer that a node buffers, and
/// what the sockets between hold.
constexpr std::uint64_t kToleratedBytes = 32 * 1024 * 1024;

const std::string kHead =
    "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: signed\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kFiller(4'000, 'x');

FloodingReplica::Pieces repeated(const std::string& piece) {
  return [piece](std::uint64_t) { return piece; };
}

std::string chunk(const std::string& bytes) {
  return net::as_chunk(bytes);
}

/// A way in which an answer does not end.
struct Flood {
  const char* name;
  RouteKind kind;
  std::string beginning;
  FloodingReplica::Pieces pieces;
};

std::string whole_answer_to_another_request() {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: signed\r\n"
         "Content-Length: 4000\r\n\r\n" +
         kFiller;
}

std::vector<Flood> floods() {
  const RouteKind buffered = RouteKind::kIdempotent;
  const RouteKind stream = RouteKind::kStreaming;
  return {
      {"header line", buffered, "HTTP/1.1 200 OK\r\nX: ", repeated(kFiller)},
      {"header fields", buffered, "HTTP/1.1 200 OK\r\n", repeated("X: " + kFiller + "\r\n")},
      {"provisional answers", buffered, {}, repeated("HTTP/1.1 103 Early Hints\r\n\r\n")},
      {"answers to another request", buffered, {}, repeated(whole_answer_to_another_request())},
      {"body of an answer to another request", buffered,
       "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
       repeated(chunk(kFiller))},
      {"buffered body in chunks", buffered, kChunked, repeated(chunk(kFiller))},
      {"buffered body without length", buffered, kHead + "\r\n", repeated(kFiller)},
      {"chunk extension", buffered, kChunked + "1;x=", repeated(kFiller)},
      {"chunk extensions", buffered, kChunked, repeated("1;x=" + kFiller + "\r\nx\r\n")},
      {"trailers", buffered, kChunked + "0\r\n", repeated("X: " + kFiller + "\r\n")},
      {"event that does not end", stream, kChunked + chunk(kEvents + "id: 3\ndata: "),
       repeated(chunk(kFiller))},
      {"comments", stream, kChunked + chunk(kEvents), repeated(chunk(": waiting\n\n"))},
      {"comments, one byte at a time", stream, kChunked + chunk(kEvents),
       [](std::uint64_t number) { return chunk(std::string(1, ": x\n\n"[number % 5])); }},
      {"events that the caller has", stream, kChunked + chunk(kEvents),
       repeated(chunk("id: 1\ndata: a\n\n"))},
  };
}

/// @return the ids of the events of a stream, in order; comments have none.
std::string event_ids(const std::string& stream) {
  std::string ids;
  EventFramer framer;
  framer.feed(stream, [&](const StreamEvent& event) {
    ids += event.id ? std::to_string(*event.id) + " " : "";
  });
  return ids;
}

/// A node between a caller, a replica that floods, and a sound one.
struct Setup {
  ProxyFixture fixture{kFrontendPort};
  FloodingReplica flooding;
  RawReplica sound;

  explicit Setup(const Flood& flood)
      : flooding(fixture.loop, "flooding", kFloodPort, flood.beginning, flood.pieces),
        sound(fixture.loop, "sound", kSoundPort, [kind = flood.kind](const std::string& request) {
          const bool resumed = request.find("Last-Event-Id: 2") != std::string::npos;
          const std::string body = kind != RouteKind::kStreaming ? "whole"
                                   : resumed                     ? "id: 3\ndata: c\n\n"
                                                                 : kEvents + "id: 3\ndata: c\n\n";
          return RawReplica::Answer{kChunked + chunk(body) + chunk({})};
        }) {
    RouteConfig& route = fixture.route();
    route.kind = flood.kind;
    route.resumable = flood.kind == RouteKind::kStreaming;
    route.attempts = 2;
    route.timeout = std::chrono::seconds(20);
    route.gap_target = std::chrono::milliseconds(100);
    fixture.directory.upsert(flooding.record("lm"), {});
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_answers)

// Guards against requests that are held, and memory that grows, while a replica sends without end.
BOOST_AUTO_TEST_CASE(a_request_moves_on_from_an_answer_that_never_ends) {
  for (const Flood& flood : floods()) {
    BOOST_TEST_CONTEXT(flood.name) {
      Setup setup(flood);
      std::optional<net::SimpleCall::Outcome> outcome;
      // The sound replica joins once the flood has begun, so that the first choice is the flood.
      const net::RequestHead head{
          "POST",
          "/x/1",
          {{"Host", "a.example"}, {"Attempt-Id", "request-1"}, {"Content-Length", "2"}}};
      net::SimpleCall::start(setup.fixture.client, setup.fixture.loop,
                             {{"127.0.0.1", kFrontendPort}, "front"}, net::serialize(head) + "hi",
                             {}, std::chrono::seconds(15),
                             [&](net::SimpleCall::Outcome done) { outcome = std::move(done); });
      setup.fixture.run_until([&] { return setup.flooding.requests() == 1; });
      setup.fixture.directory.upsert(setup.sound.record("lm"), {});
      setup.fixture.run_until([&] {
        return (outcome && setup.flooding.open_floods() == 0) ||
               setup.flooding.bytes_sent() > kToleratedBytes;
      });
      BOOST_TEST(setup.flooding.bytes_sent() <= kToleratedBytes);
      BOOST_TEST_REQUIRE(outcome.has_value());
      BOOST_TEST(!outcome->failure.has_value());
      BOOST_TEST(outcome->head.status == 200);
      if (flood.kind == RouteKind::kStreaming) {
        BOOST_TEST(event_ids(outcome->body) == "1 2 3 ");
      } else {
        BOOST_TEST(outcome->body == "whole");
      }
      BOOST_TEST(setup.flooding.open_floods() == 0);
    }
  }
}

// Guards against requests that run twice, and answers that pass for whole, after an endless answer.
BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_fails_after_an_answer_that_never_ends) {
  for (const Flood& flood : floods()) {
    if (flood.kind == RouteKind::kStreaming) {
      continue;
    }
    BOOST_TEST_CONTEXT(flood.name) {
      Setup setup(flood);
      setup.fixture.route().kind = RouteKind::kNonIdempotent;
      const auto outcome = setup.fixture.send_request();
      BOOST_TEST(!outcome.failure.has_value());
      BOOST_TEST(outcome.head.status == 502);
      setup.fixture.run_until([&] {
        return setup.flooding.open_floods() == 0 || setup.flooding.bytes_sent() > kToleratedBytes;
      });
      BOOST_TEST(setup.flooding.open_floods() == 0);
      BOOST_TEST(setup.flooding.requests() == 1);
    }
  }
}

// Guards against a node that runs out of memory, or serves others late, beside several floods.
BOOST_AUTO_TEST_CASE(other_requests_are_served_beside_eight_floods) {
  const Flood flood{"buffered body", RouteKind::kNonIdempotent, kChunked, repeated(chunk(kFiller))};
  Setup setup(flood);
  constexpr std::size_t kFloods = 8;
  ReplicaRecord roomy = setup.flooding.record("lm");
  roomy.slots = 2 * static_cast<int>(kFloods);
  setup.fixture.directory.upsert(roomy, {});
  std::size_t ended = 0;
  for (std::size_t number = 0; number < kFloods; ++number) {
    const net::RequestHead head{
        "POST",
        "/x/1",
        {{"Host", "a.example"}, {"Attempt-Id", "request-1"}, {"Content-Length", "2"}}};
    net::SimpleCall::start(setup.fixture.client, setup.fixture.loop,
                           {{"127.0.0.1", kFrontendPort}, "front"}, net::serialize(head) + "hi", {},
                           std::chrono::seconds(15), [&](const net::SimpleCall::Outcome& outcome) {
                             ended += outcome.head.status == 502 ? 1 : 0;
                           });
  }
  setup.fixture.run_until([&] { return setup.flooding.requests() == static_cast<int>(kFloods); });
  setup.fixture.directory.remove("flooding");
  setup.fixture.directory.upsert(setup.sound.record("lm"), {});
  const auto beside = setup.fixture.send_request();
  BOOST_TEST(beside.head.status == 200);
  BOOST_TEST(beside.body == "whole");
  setup.fixture.run_until(
      [&] { return ended == kFloods || setup.flooding.bytes_sent() > kFloods * kToleratedBytes; });
  BOOST_TEST(ended == kFloods);
  BOOST_TEST(setup.flooding.bytes_sent() <= kFloods * kToleratedBytes);
}

// Guards against an item that is held, and a partition that writes nothing more, after endless
// runs.
BOOST_AUTO_TEST_CASE(an_item_runs_elsewhere_after_a_run_that_never_ends) {
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const auto rising = [](std::uint64_t number) {
    return chunk("id: " + std::to_string(number + 3) + "\ndata: " + kFiller + "\n\n");
  };
  const std::pair<const char*, FloodingReplica::Pieces> item_floods[] = {
      {"an event that does not end", repeated(chunk(kFiller))},
      {"comments", repeated(chunk(": waiting\n\n"))},
      {"old events", repeated(chunk("id: 1\ndata: a\n\n"))},
      {"more output than the log takes", rising},
  };
  for (const auto& [name, pieces] : item_floods) {
    BOOST_TEST_CONTEXT(name) {
      JobFixture fixture;
      FloodingReplica flooding(fixture.loop, "flooding", kFloodPort, kChunked + chunk(events),
                               pieces);
      RawReplica sound(fixture.loop, "sound", kSoundPort, [](const std::string& request) {
        const bool resumed = request.find("Last-Event-Id: 2") != std::string::npos;
        const std::string last = "id: 3\ndata: c\n\n";
        return RawReplica::Answer{kChunked + chunk(resumed ? last : kEvents + last) + chunk({})};
      });
      fixture.add_replica(kFloodPort);
      fixture.start();
      fixture.submit();
      fixture.run_until([&] { return flooding.requests() > 0; });
      fixture.add_replica(kSoundPort);
      BOOST_TEST(fixture.text_of_item() == "a\nb\nc");
      fixture.run_until(
          [&] { return flooding.open_floods() == 0 || flooding.bytes_sent() > kToleratedBytes; });
      BOOST_TEST(flooding.open_floods() == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
