/// Tests answers that stop within their head, and resumed runs that do not begin where the stream
/// stopped: neither reaches a caller as a whole answer or as a stream with a gap.

#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

#include "platform/stand_ins.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'134;
constexpr std::uint16_t kFirstPort = 28'135;
constexpr int kReplicas = 3;

std::string event(int number) {
  return "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + "\n\n";
}

/// @return events from `first` to 4.
std::string events_from(int first) {
  std::string events;
  for (int number = first; number <= 4; ++number) {
    events += event(number);
  }
  return events;
}

std::string head_with(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: signed\r\n" + framing +
         "\r\n";
}

std::string chunked_answer(const std::string& body, bool whole) {
  return head_with("Transfer-Encoding: chunked\r\n") + net::as_chunk(body) +
         (whole ? net::as_chunk({}) : "");
}

/// @return what the caller gets from one replica.
net::SimpleCall::Outcome answer_of(RouteKind kind, const RawReplica::Answer& answer) {
  ProxyFixture fixture(kFrontendPort);
  fixture.route().kind = kind;
  fixture.set_health_path("lm", "/healthz");
  const RawReplica replica(fixture.loop, "r1", kFirstPort,
                           [&answer](const std::string&) { return answer; });
  fixture.directory.upsert(replica.record("lm"), {});
  return fixture.send_request();
}

/// A resumable stream before replicas that answer its runs in turn.
struct ResumedStream {
  ProxyFixture fixture{kFrontendPort};
  std::list<RawReplica> replicas;
  std::size_t runs = 0;

  explicit ResumedStream(const std::vector<std::string>& answers) {
    fixture.route().kind = RouteKind::kStreaming;
    fixture.route().resumable = true;
    fixture.route().attempts = static_cast<int>(answers.size());
    for (int number = 0; number < kReplicas; ++number) {
      replicas.emplace_back(fixture.loop, "r" + std::to_string(number),
                            static_cast<std::uint16_t>(kFirstPort + number),
                            [this, answers](const std::string&) {
                              const std::string& bytes = answers.at(runs++);
                              const bool whole = bytes.ends_with("0\r\n\r\n");
                              return RawReplica::Answer{
                                  bytes, whole ? AnswerEnding::kKeepsOpen : AnswerEnding::kResets};
                            });
      fixture.directory.upsert(replicas.back().record("lm"), {});
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cut_answers)

BOOST_AUTO_TEST_CASE(an_answer_that_stops_within_its_head_is_never_a_success) {
  const std::string body = events_from(1);
  const std::vector<std::string> framings{"Content-Length: " + std::to_string(body.size()) + "\r\n",
                                          "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n",
                                          ""};
  for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}) {
    for (const std::string& framing : framings) {
      const std::string whole = before + head_with(framing);
      for (const AnswerEnding ending : {AnswerEnding::kCloses, AnswerEnding::kResets}) {
        for (std::size_t sent = before.size(); sent < whole.size(); sent += 1) {
          const RouteKind kind = sent % 2 == 0 ? RouteKind::kStreaming : RouteKind::kNonIdempotent;
          const auto outcome = answer_of(kind, {whole.substr(0, sent), ending});
          BOOST_TEST(
              (outcome.failure || outcome.head.status == 502),
              "framing " << framing << " cut after " << sent << " got " << outcome.head.status);
          BOOST_TEST(outcome.body.empty());
        }
      }
    }
  }
}

// The caller would miss an event without knowing.
BOOST_AUTO_TEST_CASE(a_resumed_run_that_skips_an_event_is_not_passed_on) {
  const std::string broken = chunked_answer(event(1), false);
  const std::string skipping = chunked_answer(events_from(3), true);
  const std::string right = chunked_answer(events_from(2), true);
  {
    ResumedStream stream({broken, skipping, right});
    const auto outcome = stream.fixture.send_request();
    BOOST_TEST(!outcome.failure.has_value());
    BOOST_TEST(outcome.body == events_from(1));
    BOOST_TEST(stream.runs == 3U);
  }
  ResumedStream stream({broken, skipping});
  const auto outcome = stream.fixture.send_request();
  BOOST_TEST(outcome.failure.has_value());
  BOOST_TEST(outcome.body == event(1));
}

BOOST_AUTO_TEST_CASE(a_resumed_run_without_event_ids_is_not_passed_on) {
  ResumedStream stream(
      {chunked_answer(event(1), false), chunked_answer("data: 2\n\ndata: 3\n\n", true)});
  const auto outcome = stream.fixture.send_request();
  BOOST_TEST(outcome.failure.has_value());
  BOOST_TEST(outcome.body == event(1));
}

BOOST_AUTO_TEST_CASE(a_resumed_run_that_repeats_events_is_passed_on_without_them) {
  ResumedStream stream({chunked_answer(event(1) + event(2), false),
                        chunked_answer(": comment\n\n" + events_from(1), true)});
  const auto outcome = stream.fixture.send_request();
  BOOST_TEST(!outcome.failure.has_value());
  BOOST_TEST(outcome.body == event(1) + event(2) + ": comment\n\n" + events_from(3));
}

// Ids of online streams only have to rise.
BOOST_AUTO_TEST_CASE(a_gap_between_the_ids_of_one_run_is_passed_on) {
  ResumedStream stream({chunked_answer(event(1) + event(4), true)});
  const auto outcome = stream.fixture.send_request();
  BOOST_TEST(!outcome.failure.has_value());
  BOOST_TEST(outcome.body == event(1) + event(4));
}

BOOST_AUTO_TEST_SUITE_END()
