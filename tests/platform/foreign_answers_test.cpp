/// Tests answers that are not the replica's own: they lack its signature or the id of the request,
/// or their body is coded. Nothing in them is believed, neither for batch items nor for callers.

#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kFrontendPort = 28'181;
constexpr std::uint16_t kFirstPort = 28'182;

const std::string kGenuine = "Attempt-Id: request-1\r\nResponse-Signature: signed\r\n";
const std::string kOwnEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kLastEvent = "id: 3\ndata: c\n\n";
const std::string kForeignEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

/// Head fields of answers that are not the replica's.
struct ForeignHead {
  const char* name;
  std::string fields;
};

const std::vector<ForeignHead> kForeignHeads{
    {"neither signature nor id", ""},
    {"no signature", "Attempt-Id: request-1\r\n"},
    {"empty signature", "Attempt-Id: request-1\r\nResponse-Signature: \r\n"},
    {"no id", "Response-Signature: signed\r\n"},
    {"two ids", kGenuine + "Attempt-Id: other\r\n"},
    {"coded body", kGenuine + "Content-Encoding: gzip\r\n"},
};

std::string answer(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
         (body.empty() ? "" : net::as_chunk(body)) + net::as_chunk({});
}

/// An answer that closes its connection in place of the last chunk.
RawReplica::Answer broken_off(const std::string& fields, const std::string& body) {
  return {
      "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + net::as_chunk(body),
      AnswerEnding::kCloses};
}

const RawReplica::Answer kOwnAnswer{answer("200 OK", kGenuine, kOwnEvents)};

/// A job of one item before two replicas that answer its runs in turn; the last answer is repeated.
struct ItemRuns : JobFixture {
  std::list<RawReplica> replicas;
  std::vector<std::string> requests;

  explicit ItemRuns(const std::vector<RawReplica::Answer>& answers) {
    for (const std::uint16_t port : {kFirstPort, static_cast<std::uint16_t>(kFirstPort + 1)}) {
      replicas.emplace_back(loop, "r" + std::to_string(port), port,
                            [this, answers](const std::string& request) {
                              requests.push_back(request);
                              return answers.at(std::min(requests.size(), answers.size()) - 1);
                            });
      add_replica(port);
    }
    start();
    submit();
  }
};

/// A caller's request before two replicas that answer its sends in turn.
struct CallerRequest {
  ProxyFixture fixture{kFrontendPort};
  std::list<RawReplica> replicas;
  std::size_t sends = 0;

  CallerRequest(RouteKind kind, int attempts, const std::vector<RawReplica::Answer>& answers) {
    RouteConfig& route = fixture.route();
    route.kind = kind;
    route.attempts = attempts;
    route.resumable = kind == RouteKind::kStreaming;
    for (int number = 0; number < 2; ++number) {
      replicas.emplace_back(fixture.loop, "r" + std::to_string(number),
                            static_cast<std::uint16_t>(kFirstPort + number),
                            [this, answers](const std::string&) {
                              return answers.at(std::min(sends++, answers.size() - 1));
                            });
      fixture.directory.upsert(replicas.back().record("lm"), {});
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(foreign_answers)

// Guards against bytes that no replica signed as the result of a batch item.
BOOST_AUTO_TEST_CASE(a_foreign_success_is_not_the_result_of_an_item) {
  for (const ForeignHead& head : kForeignHeads) {
    BOOST_TEST_CONTEXT(head.name) {
      ItemRuns runs({{answer("200 OK", head.fields, kForeignEvents)}, kOwnAnswer});
      BOOST_TEST(runs.text_of_item() == "a\nb");
      BOOST_TEST(runs.requests.size() == 2U);
    }
  }
}

// Guards against a run that goes on behind foreign events.
BOOST_AUTO_TEST_CASE(an_item_does_not_resume_after_foreign_events) {
  for (const ForeignHead& head : kForeignHeads) {
    BOOST_TEST_CONTEXT(head.name) {
      ItemRuns runs({broken_off(head.fields, kForeignEvents), kOwnAnswer});
      BOOST_TEST(runs.text_of_item() == "a\nb");
      BOOST_TEST((runs.requests.back().find("Last-Event-Id") == std::string::npos));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_foreign_answer_between_two_runs_leaves_the_output_of_the_first) {
  ItemRuns runs({broken_off(kGenuine, kOwnEvents),
                 {answer("200 OK", "", "id: 3\ndata: z\n\n")},
                 {answer("200 OK", kGenuine, kLastEvent)}});
  BOOST_TEST(runs.text_of_item() == "a\nb\nc");
  BOOST_TEST((runs.requests.back().find("Last-Event-Id: 2") != std::string::npos));
}

// Guards against items that are given up although no replica has failed them.
BOOST_AUTO_TEST_CASE(a_foreign_failure_does_not_count_against_an_item) {
  for (const char* status : {"422 Unprocessable Entity", "500 Internal Server Error"}) {
    BOOST_TEST_CONTEXT(status) {
      const RawReplica::Answer foreign{answer(status, "", "")};
      ItemRuns runs({foreign, foreign, foreign, foreign, kOwnAnswer});
      BOOST_TEST(runs.text_of_item() == "a\nb");
      BOOST_TEST(runs.requests.size() == 5U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_replica_counts_against_an_item) {
  ItemRuns impossible({{answer("422 Unprocessable Entity", kGenuine, "")}});
  BOOST_TEST(impossible.text_of_item().empty());
  BOOST_TEST(impossible.requests.size() == 1U);
}

// Guards against a request that the caller is told has not run, while it may have.
BOOST_AUTO_TEST_CASE(a_foreign_claim_that_a_request_has_not_run_is_not_believed) {
  for (const char* status : {"503 Service Unavailable", "421 Misdirected Request"}) {
    for (const std::string fields : {"", "Not-Executed: 1\r\n"}) {
      BOOST_TEST_CONTEXT(status << " " << fields) {
        CallerRequest request(RouteKind::kNonIdempotent, 3, {{answer(status, fields, "")}});
        BOOST_TEST(request.fixture.send_request().head.status == 502);
        BOOST_TEST(request.sends == 1U);
        BOOST_TEST(request.fixture.directory.all().size() == 2U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(load_in_a_foreign_answer_is_not_believed) {
  CallerRequest request(RouteKind::kNonIdempotent, 1,
                        {{answer("200 OK", "Instance-Load: 4,9,4\r\n", "hi")}});
  BOOST_TEST(request.fixture.send_request().head.status == 502);
  for (const auto& [id, replica] : request.fixture.directory.all()) {
    BOOST_TEST((replica.reported_at == TimePoint{}));
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_answered_elsewhere) {
  for (const char* status : {"200 OK", "404 Not Found", "500 Internal Server Error"}) {
    BOOST_TEST_CONTEXT(status) {
      CallerRequest request(RouteKind::kIdempotent, 2,
                            {{answer(status, "", "foreign")}, {answer("200 OK", kGenuine, "own")}});
      BOOST_TEST(request.fixture.send_request().body == "own");
      BOOST_TEST(request.sends == 2U);
    }
  }
}

// Guards against a wait for the end of an answer that is of no use.
BOOST_AUTO_TEST_CASE(a_foreign_answer_is_not_awaited_to_its_end) {
  const RawReplica::Answer without_end{"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nforeign"};
  CallerRequest request(RouteKind::kNonIdempotent, 1, {without_end});
  BOOST_TEST(request.fixture.send_request().head.status == 502);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_elsewhere_after_a_foreign_answer) {
  CallerRequest request(RouteKind::kStreaming, 3,
                        {broken_off(kGenuine, kOwnEvents),
                         {answer("200 OK", "", "id: 3\ndata: z\n\n")},
                         {answer("200 OK", kGenuine, kLastEvent)}});
  BOOST_TEST(request.fixture.send_request().body == kOwnEvents + kLastEvent);
  BOOST_TEST(request.sends == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
