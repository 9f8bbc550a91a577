/// Tests that an answer reaches its caller as complete only if it is. An answer with neither a
/// length nor chunks ends with its connection, and a replica that breaks off or crashes ends its
/// connections in the same way.

#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'131;
constexpr std::uint16_t kFirstPort = 28'132;
constexpr std::uint16_t kSecondPort = 28'133;

const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
constexpr std::size_t kEventBytes = 15;
const std::string kBody = "whole body";

/// How an answer states its length.
enum class Framing { kLength, kChunks, kNone, kHttp10 };

constexpr Framing kAllFramings[] = {Framing::kLength, Framing::kChunks, Framing::kNone,
                                    Framing::kHttp10};

/// @return the bytes of an answer whose body is `whole`, cut after `sent` bytes of the body. A cut
/// answer in chunks lacks its last chunk.
std::string answer_bytes(Framing framing, const std::string& whole, std::size_t sent) {
  std::string head = framing == Framing::kHttp10 ? "HTTP/1.0 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
  head += "Attempt-Id: request-1\r\nResponse-Signature: signed\r\n";
  const std::string body = whole.substr(0, sent);
  switch (framing) {
    case Framing::kLength:
      return head + "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + body;
    case Framing::kChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n" +
             (body.empty() ? "" : net::as_chunk(body)) +
             (sent >= whole.size() ? net::as_chunk({}) : "");
    case Framing::kNone:
    case Framing::kHttp10:
      break;
  }
  return head + "\r\n" + body;
}

/// @return the events after the one that the request names in `Last-Event-Id`.
std::string remaining_events(const std::string& request) {
  const std::string name = "Last-Event-Id: ";
  const std::size_t start = request.find(name);
  const std::size_t have =
      start == std::string::npos ? 0 : std::stoul(request.substr(start + name.size()));
  return kEvents.substr(have * kEventBytes);
}

/// Two replicas. The first run, at either of them, is answered as given; the next one whole.
class TwoReplicas {
 public:
  TwoReplicas(ProxyFixture& fixture, RouteKind kind, const RawReplica::Answer& first_answer) {
    const auto handler = [this, kind, first_answer](const std::string& request) {
      if (runs_++ == 0) {
        return first_answer;
      }
      const std::string body = kind == RouteKind::kStreaming ? remaining_events(request) : kBody;
      return RawReplica::Answer{answer_bytes(Framing::kChunks, body, body.size()),
                                AnswerEnding::kKeepsOpen};
    };
    replicas_.emplace_back(fixture.loop, "r1", kFirstPort, handler);
    replicas_.emplace_back(fixture.loop, "r2", kSecondPort, handler);
    for (const RawReplica& replica : replicas_) {
      fixture.directory.upsert(replica.record("lm"), {});
    }
  }
  int runs() const { return runs_; }

 private:
  std::list<RawReplica> replicas_;
  int runs_ = 0;
};

/// A node with a job of one item, and two replicas. The first run of the item is answered as given.
struct BatchFixture : JobFixture {
  std::list<RawReplica> replicas;
  int runs = 0;

  explicit BatchFixture(const RawReplica::Answer& first_answer) {
    for (const std::uint16_t port : {kFirstPort, kSecondPort}) {
      const std::string id = "r" + std::to_string(port);
      replicas.emplace_back(loop, id, port, [this, first_answer](const std::string& request) {
        if (runs++ == 0) {
          return first_answer;
        }
        const std::string body = remaining_events(request);
        return RawReplica::Answer{answer_bytes(Framing::kNone, body, body.size()),
                                  AnswerEnding::kCloses};
      });
      add_replica(port);
    }
    start();
  }
};

/// @return what the caller gets from one replica.
net::SimpleCall::Outcome answer_of(RouteKind kind, const RawReplica::Answer& answer) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = kind;
  const RawReplica replica(fixture.loop, "r1", kFirstPort,
                           [&answer](const std::string&) { return answer; });
  fixture.directory.upsert(replica.record("lm"), {});
  return fixture.send_request();
}

/// Health checks of the service, as the operator configures them.
enum class HealthChecks { kAnswered, kUnanswered };

/// @return what the caller gets from one replica of a service with health checks.
net::SimpleCall::Outcome checked_answer_of(RouteKind kind, const RawReplica::Answer& answer,
                                           HealthChecks checks = HealthChecks::kAnswered) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = kind;
  fixture.set_health_path("lm", "/healthz");
  RawReplica replica(fixture.loop, "r1", kFirstPort,
                     [&answer](const std::string&) { return answer; });
  replica.answers_health_checks = checks == HealthChecks::kAnswered;
  fixture.directory.upsert(replica.record("lm"), {});
  return fixture.send_request();
}

/// @return whether the caller takes the answer for complete.
bool is_complete(const net::SimpleCall::Outcome& outcome) {
  return !outcome.failure && outcome.head.status == 200;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unframed_answers)

BOOST_AUTO_TEST_CASE(a_stream_cut_inside_an_event_is_never_passed_on_as_complete) {
  for (const Framing framing : kAllFramings) {
    for (std::size_t sent = 0; sent < kEvents.size(); ++sent) {
      const bool unframed = framing == Framing::kNone || framing == Framing::kHttp10;
      if (unframed && sent > 0 && sent % kEventBytes == 0) {
        continue;  // Nothing tells it from a whole stream.
      }
      const auto outcome = answer_of(RouteKind::kStreaming,
                                     {answer_bytes(framing, kEvents, sent), AnswerEnding::kCloses});
      BOOST_TEST(!is_complete(outcome),
                 "framing " << static_cast<int>(framing) << ", cut after " << sent);
      BOOST_TEST(kEvents.starts_with(outcome.body));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_framed_stream_that_ends_inside_an_event_is_broken_off) {
  const std::string cut = kEvents.substr(0, kEventBytes + 4);
  for (const Framing framing : {Framing::kLength, Framing::kChunks}) {
    const auto outcome = answer_of(
        RouteKind::kStreaming, {answer_bytes(framing, cut, cut.size()), AnswerEnding::kKeepsOpen});
    BOOST_TEST(!is_complete(outcome));
  }
}

BOOST_AUTO_TEST_CASE(whole_answers_are_passed_on_in_every_framing) {
  for (const Framing framing : kAllFramings) {
    for (const RouteKind kind :
         {RouteKind::kStreaming, RouteKind::kIdempotent, RouteKind::kNonIdempotent}) {
      const std::string& body = kind == RouteKind::kStreaming ? kEvents : kBody;
      const auto outcome =
          answer_of(kind, {answer_bytes(framing, body, body.size()), AnswerEnding::kCloses});
      BOOST_TEST(is_complete(outcome), "framing " << static_cast<int>(framing));
      BOOST_TEST(outcome.body == body);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unframed_stream_of_a_replica_that_crashed_is_broken_off) {
  for (const Framing framing : {Framing::kNone, Framing::kHttp10}) {
    for (std::size_t sent = kEventBytes; sent < kEvents.size(); sent += kEventBytes) {
      const auto outcome = answer_of(
          RouteKind::kStreaming, {answer_bytes(framing, kEvents, sent), AnswerEnding::kCrashes});
      BOOST_TEST(!is_complete(outcome), "cut after " << sent);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unframed_body_of_a_replica_that_crashed_is_not_passed_on) {
  for (std::size_t sent = 0; sent < kBody.size(); ++sent) {
    const auto outcome =
        answer_of(RouteKind::kNonIdempotent,
                  {answer_bytes(Framing::kNone, kBody, sent), AnswerEnding::kCrashes});
    BOOST_TEST(outcome.head.status == 502);
  }
}

BOOST_AUTO_TEST_CASE(an_unframed_stream_is_broken_off_when_another_process_has_its_address) {
  for (const Framing framing : {Framing::kNone, Framing::kHttp10}) {
    for (std::size_t sent = kEventBytes; sent < kEvents.size(); sent += kEventBytes) {
      const auto outcome = checked_answer_of(
          RouteKind::kStreaming, {answer_bytes(framing, kEvents, sent), AnswerEnding::kRestarts});
      BOOST_TEST(!is_complete(outcome), "cut after " << sent);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unframed_body_is_not_passed_on_when_another_process_has_its_address) {
  for (std::size_t sent = 0; sent < kBody.size(); ++sent) {
    const auto outcome =
        checked_answer_of(RouteKind::kNonIdempotent,
                          {answer_bytes(Framing::kNone, kBody, sent), AnswerEnding::kRestarts});
    BOOST_TEST(outcome.head.status == 502);
  }
}

BOOST_AUTO_TEST_CASE(an_unframed_stream_is_broken_off_when_its_process_does_not_respond) {
  const auto outcome =
      checked_answer_of(RouteKind::kStreaming,
                        {answer_bytes(Framing::kNone, kEvents, kEventBytes), AnswerEnding::kCloses},
                        HealthChecks::kUnanswered);
  BOOST_TEST(!is_complete(outcome));
}

BOOST_AUTO_TEST_CASE(a_whole_unframed_answer_is_passed_on_when_its_process_states_its_name) {
  for (const Framing framing : {Framing::kNone, Framing::kHttp10}) {
    for (const RouteKind kind :
         {RouteKind::kStreaming, RouteKind::kIdempotent, RouteKind::kNonIdempotent}) {
      const std::string& body = kind == RouteKind::kStreaming ? kEvents : kBody;
      const auto outcome = checked_answer_of(
          kind, {answer_bytes(framing, body, body.size()), AnswerEnding::kCloses});
      BOOST_TEST(is_complete(outcome));
      BOOST_TEST(outcome.body == body);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_when_another_process_has_its_address) {
  for (std::size_t sent = kEventBytes; sent < kEvents.size(); sent += kEventBytes) {
    ProxyFixture fixture(kFrontendPort);
    fixture.route().kind = RouteKind::kStreaming;
    fixture.route().resumable = true;
    fixture.route().attempts = 2;
    fixture.set_health_path("lm", "/healthz");
    const TwoReplicas replicas(
        fixture, RouteKind::kStreaming,
        {answer_bytes(Framing::kNone, kEvents, sent), AnswerEnding::kRestarts});
    const auto outcome = fixture.send_request();
    BOOST_TEST(is_complete(outcome), "cut after " << sent);
    BOOST_TEST(outcome.body == kEvents);
    BOOST_TEST(replicas.runs() == 2);
  }
}

BOOST_AUTO_TEST_CASE(a_reset_answer_is_never_passed_on_as_complete) {
  for (const Framing framing : {Framing::kNone, Framing::kHttp10}) {
    for (const RouteKind kind : {RouteKind::kStreaming, RouteKind::kNonIdempotent}) {
      const std::string& body = kind == RouteKind::kStreaming ? kEvents : kBody;
      const auto outcome =
          answer_of(kind, {answer_bytes(framing, body, body.size()), AnswerEnding::kResets});
      BOOST_TEST(!is_complete(outcome));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_that_was_cut_goes_on_elsewhere_without_a_gap) {
  for (const AnswerEnding ending : {AnswerEnding::kCloses, AnswerEnding::kCrashes}) {
    for (std::size_t sent = 1; sent < kEvents.size(); ++sent) {
      if (ending == AnswerEnding::kCloses && sent % kEventBytes == 0) {
        continue;
      }
      ProxyFixture fixture(kFrontendPort);
      fixture.route().kind = RouteKind::kStreaming;
      fixture.route().resumable = true;
      fixture.route().attempts = 2;
      const TwoReplicas replicas(fixture, RouteKind::kStreaming,
                                 {answer_bytes(Framing::kNone, kEvents, sent), ending});
      const auto outcome = fixture.send_request();
      BOOST_TEST(is_complete(outcome), "cut after " << sent);
      BOOST_TEST(outcome.body == kEvents);
      BOOST_TEST(replicas.runs() == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_repeated_when_its_replica_crashed_within_the_body) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = RouteKind::kIdempotent;
  fixture.route().attempts = 2;
  const TwoReplicas replicas(fixture, RouteKind::kIdempotent,
                             {answer_bytes(Framing::kNone, kBody, 3), AnswerEnding::kCrashes});
  const auto outcome = fixture.send_request();
  BOOST_TEST(is_complete(outcome));
  BOOST_TEST(outcome.body == kBody);
}

BOOST_AUTO_TEST_CASE(an_unframed_answer_of_another_node_is_a_failure) {
  boost::asio::io_context loop(1);
  net::HttpClient client(loop);
  RawReplica peer(loop, "peer", kFirstPort, [](const std::string&) {
    return RawReplica::Answer{answer_bytes(Framing::kNone, kBody, 3), AnswerEnding::kCloses};
  });
  for (const bool accepts_unframed : {false, true}) {
    net::CallOptions options;
    options.accepts_unframed = accepts_unframed;
    const net::RequestHead head{"GET", "/", {{"Host", "peer"}}};
    std::optional<net::SimpleCall::Outcome> result;
    net::SimpleCall::start(client, loop, {{"127.0.0.1", kFirstPort}, "peer"}, net::serialize(head),
                           options, std::chrono::seconds(1),
                           [&](net::SimpleCall::Outcome outcome) { result = std::move(outcome); });
    while (!result) {
      loop.run_one_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(result->failure.has_value() == !accepts_unframed);
  }
}

BOOST_AUTO_TEST_CASE(an_item_whose_unframed_answer_was_cut_has_each_event_once) {
  for (const AnswerEnding ending : {AnswerEnding::kCloses, AnswerEnding::kCrashes}) {
    for (const std::size_t sent : {std::size_t{0}, kEventBytes - 1, kEventBytes, kEventBytes + 4}) {
      if (ending == AnswerEnding::kCloses && sent == kEventBytes) {
        continue;
      }
      BatchFixture fixture({answer_bytes(Framing::kNone, kEvents, sent), ending});
      fixture.submit();
      BOOST_TEST(fixture.text_of_item() == "a\nb\nc", "cut after " << sent);
      BOOST_TEST(fixture.runs == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_item_has_each_event_once_when_another_process_has_its_replicas_address) {
  for (std::size_t sent = kEventBytes; sent < kEvents.size(); sent += kEventBytes) {
    BatchFixture fixture({answer_bytes(Framing::kNone, kEvents, sent), AnswerEnding::kRestarts});
    fixture.submit();
    BOOST_TEST(fixture.text_of_item() == "a\nb\nc", "cut after " << sent);
    BOOST_TEST(fixture.runs == 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()
