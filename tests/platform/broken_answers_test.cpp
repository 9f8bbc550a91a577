/// Tests that an answer whose head no HTTP receiver accepts does not reach a caller, and that what
/// is passed on can be read by the caller.

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

#include "net/clock.hpp"
#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"
#include "support/broken_heads.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'171;
constexpr std::uint16_t kFirstPort = 28'172;
constexpr int kReplicas = 3;

const std::string kGenuine = "Attempt-Id: request-1\r\nResponse-Signature: signed\r\n";
const std::string kBody = "2\r\nhi\r\n0\r\n\r\n";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kLastEvent = "id: 3\ndata: c\n\n";

constexpr RouteKind kAllKinds[] = {RouteKind::kIdempotent, RouteKind::kNonIdempotent,
                                   RouteKind::kStreaming};

/// @return an answer with a broken head.
std::string broken_answer(const BrokenHead& head, const std::string& fields = kGenuine) {
  return head.with(fields) + kBody;
}

/// @return an answer in chunks. @param cut whether its last chunk is missing.
std::string chunked_answer(const std::string& body, bool cut = false) {
  return "HTTP/1.1 200 OK\r\n" + kGenuine + "Transfer-Encoding: chunked\r\n\r\n" +
         net::as_chunk(body) + (cut ? "" : net::as_chunk({}));
}

/// A node before replicas that answer the sends of a request in turn.
struct Node {
  ProxyFixture fixture{kFrontendPort};
  std::list<RawReplica> replicas;
  std::size_t sends = 0;

  Node(RouteKind kind, int attempts, const std::vector<RawReplica::Answer>& answers) {
    RouteConfig& route = fixture.route();
    route.kind = kind;
    route.attempts = attempts;
    route.resumable = kind == RouteKind::kStreaming;
    for (int number = 0; number < kReplicas; ++number) {
      replicas.emplace_back(fixture.loop, "r" + std::to_string(number),
                            static_cast<std::uint16_t>(kFirstPort + number),
                            [this, answers](const std::string&) {
                              return answers.at(std::min(sends++, answers.size() - 1));
                            });
      fixture.directory.upsert(replicas.back().record("lm"), {});
    }
  }
  /// @return failures that count against replicas, all together.
  double failures() const {
    double sum = 0;
    for (const RawReplica& replica : replicas) {
      const Replica* known = fixture.directory.find(replica.record("lm").id);
      sum += known == nullptr ? 0 : known->own_failures.value(net::steady_now());
    }
    return sum;
  }
};

/// @return what the caller gets if the request may not be repeated.
net::SimpleCall::Outcome single_answer(RouteKind kind, const RawReplica::Answer& answer) {
  Node node(kind, 1, {answer});
  return node.fixture.send_request();
}

void check_that_none_is_passed_on(const std::vector<BrokenHead>& heads) {
  for (const BrokenHead& head : heads) {
    for (const RouteKind kind : kAllKinds) {
      BOOST_TEST_CONTEXT(head.name << ", route kind " << static_cast<int>(kind)) {
        const auto outcome = single_answer(kind, {broken_answer(head), AnswerEnding::kCloses});
        BOOST_TEST(!outcome.failure.has_value());
        BOOST_TEST(outcome.head.status == 502);
        BOOST_TEST(outcome.body.empty());
        BOOST_TEST(!outcome.head.headers.has("Response-Signature"));
      }
    }
  }
}

/// @return the bytes that a caller reads until the connection ends or nothing more comes.
std::string raw_bytes_of(ProxyFixture& fixture) {
  net::tcp::socket socket(fixture.loop);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), kFrontendPort});
  boost::asio::write(socket, boost::asio::buffer(
                                 std::string("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                                             "request-1\r\nContent-Length: 2\r\n\r\nhi")));
  std::string bytes;
  bool arrived = false;
  std::array<char, 4096> buffer{};
  socket.async_read_some(boost::asio::buffer(buffer),
                         [&](const boost::system::error_code&, std::size_t count) {
                           bytes.assign(buffer.data(), count);
                           arrived = true;
                         });
  fixture.run_until([&] { return arrived; });
  const TimePoint end = net::steady_now() + std::chrono::milliseconds(100);
  fixture.run_until([&] { return net::steady_now() > end; });
  socket.non_blocking(true);
  boost::system::error_code ignored;
  const std::size_t more = socket.read_some(boost::asio::buffer(buffer), ignored);
  return bytes.append(buffer.data(), more);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

// Guards against answers with status 000 and others outside 100 to 599 that reach a caller.
BOOST_AUTO_TEST_CASE(an_answer_with_a_status_that_no_receiver_accepts_is_not_passed_on) {
  check_that_none_is_passed_on(heads_with_broken_status());
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_broken_field_is_not_passed_on) {
  check_that_none_is_passed_on(heads_with_broken_fields());
}

// Guards against coded bytes, and sizes of chunks, that pass for the replica's body.
BOOST_AUTO_TEST_CASE(an_answer_with_an_unknown_transfer_coding_is_not_passed_on) {
  check_that_none_is_passed_on(heads_with_unknown_codings());
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_answered_elsewhere) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      Node node(RouteKind::kIdempotent, 2,
                {{broken_answer(head), AnswerEnding::kCloses}, {chunked_answer("whole")}});
      const auto outcome = node.fixture.send_request();
      BOOST_TEST(outcome.head.status == 200);
      BOOST_TEST(outcome.body == "whole");
      BOOST_TEST(node.sends == 2U);
      BOOST_TEST(node.failures() > 0.5);
      BOOST_TEST(node.failures() < 1.5);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_elsewhere_after_a_broken_head) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      Node node(RouteKind::kStreaming, 3,
                {{chunked_answer(kEvents, true), AnswerEnding::kCloses},
                 {broken_answer(head), AnswerEnding::kCloses},
                 {chunked_answer(kLastEvent)}});
      const auto outcome = node.fixture.send_request();
      BOOST_TEST(!outcome.failure.has_value());
      BOOST_TEST(outcome.body == kEvents + kLastEvent);
      BOOST_TEST(node.sends == 3U);
    }
  }
}

// Guards against a provisional answer that passes for one that ends with its connection.
BOOST_AUTO_TEST_CASE(a_whole_answer_after_provisional_ones_is_passed_on) {
  for (const RouteKind kind : kAllKinds) {
    const std::string body = kind == RouteKind::kStreaming ? kEvents : "whole";
    const auto outcome = single_answer(kind, {"HTTP/1.1 100 Continue\r\n\r\n"
                                              "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" +
                                              chunked_answer(body)});
    BOOST_TEST(outcome.head.status == 200);
    BOOST_TEST(outcome.body == body);
  }
}

BOOST_AUTO_TEST_CASE(a_broken_head_after_a_provisional_answer_is_not_passed_on) {
  for (const BrokenHead& head : broken_heads()) {
    for (const RouteKind kind : kAllKinds) {
      BOOST_TEST_CONTEXT(head.name << ", route kind " << static_cast<int>(kind)) {
        const auto outcome = single_answer(
            kind,
            {"HTTP/1.1 103 Early Hints\r\n\r\n" + broken_answer(head), AnswerEnding::kCloses});
        BOOST_TEST(outcome.head.status == 502);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_broken_second_answer_on_a_connection_is_not_passed_on) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      Node node(RouteKind::kNonIdempotent, 1,
                {{chunked_answer("whole")}, {broken_answer(head), AnswerEnding::kCloses}});
      BOOST_TEST(node.fixture.send_request().body == "whole");
      BOOST_TEST(node.fixture.send_request().head.status == 502);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_broken_answer_to_another_request_is_not_passed_on) {
  for (const BrokenHead& head : broken_heads()) {
    BOOST_TEST_CONTEXT(head.name) {
      const auto outcome = single_answer(
          RouteKind::kNonIdempotent,
          {broken_answer(head, "Attempt-Id: other\r\nResponse-Signature: signed\r\n") +
               chunked_answer("whole"),
           AnswerEnding::kCloses});
      BOOST_TEST(outcome.head.status == 502);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_broken_answer_cut_at_any_byte_is_not_passed_on) {
  for (const BrokenHead& head : broken_heads()) {
    const std::string whole = broken_answer(head);
    constexpr std::size_t kStep = 7;
    for (std::size_t sent = whole.size() % kStep; sent < whole.size(); sent += kStep) {
      const auto outcome =
          single_answer(RouteKind::kNonIdempotent, {whole.substr(0, sent), AnswerEnding::kCloses});
      BOOST_TEST(outcome.head.status == 502, head.name << ", cut after " << sent);
    }
  }
}

// Guards against a second connection field that is not read.
BOOST_AUTO_TEST_CASE(fields_that_any_connection_field_names_are_not_passed_on) {
  const std::string fields =
      "Connection: X-First\r\nX-First: 1\r\nConnection: close, X-Hop\r\nX-Hop: 2\r\nX-End: 3\r\n";
  for (const RouteKind kind : kAllKinds) {
    const auto outcome = single_answer(
        kind, {"HTTP/1.1 200 OK\r\n" + kGenuine + fields + "Content-Length: 0\r\n\r\n",
               AnswerEnding::kCloses});
    BOOST_TEST(outcome.head.status == 200);
    BOOST_TEST(!outcome.head.headers.has("X-First"));
    BOOST_TEST(!outcome.head.headers.has("X-Hop"));
    BOOST_TEST(outcome.head.headers.get("X-End") == "3");
  }
}

// Guards against a success without its signature, which its caller does not count.
BOOST_AUTO_TEST_CASE(an_answer_that_takes_its_signature_as_a_connection_field_is_not_passed_on) {
  for (const RouteKind kind : kAllKinds) {
    const auto outcome =
        single_answer(kind, {"HTTP/1.1 200 OK\r\n" + kGenuine +
                                 "Connection: Response-Signature\r\nContent-Length: 2\r\n\r\nhi",
                             AnswerEnding::kCloses});
    BOOST_TEST(outcome.head.status == 502);
  }
}

// Guards against an answer that states two requests, one of them another.
BOOST_AUTO_TEST_CASE(an_answer_with_two_request_ids_is_not_passed_on) {
  for (const RouteKind kind : kAllKinds) {
    const auto outcome = single_answer(
        kind,
        {"HTTP/1.1 200 OK\r\n" + kGenuine + "Attempt-Id: other\r\nContent-Length: 2\r\n\r\nhi",
         AnswerEnding::kCloses});
    BOOST_TEST(outcome.head.status == 502);
  }
}

// Guards against bytes where no body may be, which a caller reads as the next answer.
BOOST_AUTO_TEST_CASE(no_body_follows_a_status_without_body) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    for (const RouteKind kind : kAllKinds) {
      BOOST_TEST_CONTEXT(status << ", route kind " << static_cast<int>(kind)) {
        Node node(kind, 1, {{"HTTP/1.1 " + std::string(status) + "\r\n" + kGenuine + "\r\n"}});
        const std::string bytes = raw_bytes_of(node.fixture);
        BOOST_TEST(bytes.starts_with("HTTP/1.1 " + std::string(status).substr(0, 3)));
        BOOST_TEST(bytes.ends_with("\r\n\r\n"));
        BOOST_TEST(bytes.find("\r\n\r\n") == bytes.size() - 4);
        BOOST_TEST(bytes.find("Transfer-Encoding") == std::string::npos);
        BOOST_TEST(bytes.find("Content-Length") == std::string::npos);
      }
    }
  }
}

/// A node with a job of one item; the first runs of the item are answered with broken heads.
struct BrokenItemRuns : JobFixture {
  std::list<RawReplica> replicas;
  std::size_t runs = 0;

  explicit BrokenItemRuns(const std::vector<BrokenHead>& heads) {
    for (const std::uint16_t port : {kFirstPort, static_cast<std::uint16_t>(kFirstPort + 1)}) {
      replicas.emplace_back(loop, "r" + std::to_string(port), port, [this, heads](const auto&) {
        const std::size_t run = runs++;
        return run < heads.size()
                   ? RawReplica::Answer{broken_answer(heads[run]), AnswerEnding::kCloses}
                   : RawReplica::Answer{chunked_answer(kEvents)};
      });
      add_replica(port);
    }
    start();
  }
};

BOOST_AUTO_TEST_CASE(an_item_runs_again_after_broken_heads) {
  const std::vector<BrokenHead> heads{heads_with_broken_status()[0], heads_with_broken_fields()[0],
                                      heads_with_unknown_codings()[0]};
  BrokenItemRuns fixture(heads);
  fixture.submit();
  BOOST_TEST(fixture.text_of_item() == "a\nb");
  BOOST_TEST(fixture.runs == heads.size() + 1);
}

BOOST_AUTO_TEST_CASE(broken_heads_are_counted_and_are_no_evidence_of_a_crash) {
  BrokenItemRuns fixture(std::vector<BrokenHead>(3, heads_with_broken_status()[0]));
  fixture.submit();
  BOOST_TEST(fixture.text_of_item() == "a\nb");
  std::optional<net::SimpleCall::Outcome> page;
  const net::RequestHead head{"GET", "/metrics", {{"Host", "node"}}};
  net::SimpleCall::start(fixture.caller, fixture.loop,
                         {*Address::parse(GatewayNode::address(1, 5)), "metrics"},
                         net::serialize(head), {}, std::chrono::seconds(5),
                         [&](net::SimpleCall::Outcome outcome) { page = std::move(outcome); });
  fixture.run_until([&] { return page.has_value(); });
  BOOST_TEST(page->body.find("dockpoint_gateway_malformed_answers_total{fault=\"status\"} 3") !=
             std::string::npos);
  BOOST_TEST(page->body.find("dockpoint_gateway_broken_runs_total{") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
