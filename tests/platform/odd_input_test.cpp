/// Tests that odd documents of other writers and of callers are rejected or limited, and that the
/// process lives: deep nesting, numbers out of every range, wrong types, damaged text.

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>

#include "platform/fleet.hpp"
#include "platform/replica_records.hpp"
#include "platform/traffic.hpp"

using namespace dockpoint;
using dockpoint::test::replica_record;
using nlohmann::json;

namespace {

constexpr std::size_t kDeep = 200'000;
constexpr std::array kOddNumbers{"1e300",
                                 "-1e300",
                                 "-1",
                                 "0",
                                 "1.5",
                                 "1e19",
                                 "9223372036854775808",
                                 "18446744073709551615",
                                 "184467440737095516160",
                                 "-9223372036854775808"};

const platform::PlatformFleet kFleet;
const platform::PlatformTraffic kTraffic;

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::optional<RoutingConfiguration> read_configuration(const std::string& value) {
  std::string problem;
  return value_or_problem([&] { return kFleet.read_configuration(value); }, problem);
}

std::optional<ReplicaRecord> read_replica(const std::string& value) {
  std::string problem;
  return value_or_problem([&] { return kFleet.read_replica("r1", value); }, problem);
}

std::optional<BatchJob> read_job(const std::string& body) {
  net::RequestHead head{"POST", "/batch/x", {{"Host", "a.example"}, {"Attempt-Id", "job"}}};
  std::string problem;
  return value_or_problem([&] { return kTraffic.read_job(head, body); }, problem);
}

/// @return a job of one item with further members of the item.
std::string job_with(const std::string& members) {
  return R"({"requests":[{"id":"a","path":"/batch/1","body":"aGk=")" + members + "}]}";
}

std::string configuration_with(const std::string& route_members,
                               const std::string& service_members) {
  return R"({"version":7,"routeList":[{"name":"r","host":"a.example","pathPrefix":"/x/",
    "type":"streaming","service":"lm")" +
         route_members + R"(}],"services":[{"name":"lm")" + service_members + "}]}";
}

RequestInfo request_with(const std::string& name, const std::string& value) {
  return kTraffic.read_request({"POST", "/x", {{"Attempt-Id", "a"}, {name, value}}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_input)

// Copying such a value exhausted the stack and ended the process.
BOOST_AUTO_TEST_CASE(a_deeply_nested_header_of_an_item_is_rejected) {
  BOOST_TEST(!read_job(job_with(R"(,"headers":{"Deep":)" + nested(kDeep) + "}")).has_value());
  BOOST_TEST(!read_job(job_with(R"(,"other":)" + nested(kDeep))).has_value());
  BOOST_TEST(!read_job(nested(kDeep)).has_value());
  BOOST_TEST(!read_job(std::string(kDeep, '[')).has_value());
  constexpr std::size_t kShallow = 8;
  BOOST_TEST(read_job(job_with(R"(,"headers":{"Deep":)" + nested(kShallow) + "}")).has_value());
}

BOOST_AUTO_TEST_CASE(deeply_nested_records_are_rejected) {
  json record = replica_record();
  BOOST_TEST(read_replica(record.dump()).has_value());
  std::string text = record.dump();
  text.insert(1, R"("other":)" + nested(kDeep) + ",");
  BOOST_TEST(!read_replica(text).has_value());
  BOOST_TEST(!read_configuration(configuration_with(R"(,"other":)" + nested(kDeep), "")));
}

BOOST_AUTO_TEST_CASE(numbers_of_an_item_are_limited) {
  for (const char* number : kOddNumbers) {
    const auto job = read_job(job_with(std::string(R"(,"tokenCount":)") + number));
    BOOST_TEST_REQUIRE(job.has_value(), number);
    BOOST_TEST(job->items.front().tokens >= 0, number);
    BOOST_TEST(job->items.front().tokens <= 1e12, number);
  }
}

BOOST_AUTO_TEST_CASE(numbers_of_the_configuration_are_limited) {
  constexpr Duration kLongest = std::chrono::hours(24 * 366);
  for (const char* number : kOddNumbers) {
    for (const char* key : {"timeoutMs", "targetMs", "gapTargetMs", "completionTargetMs",
                            "retentionS", "attempts", "priority", "maxQueuedTokens"}) {
      const auto read =
          read_configuration(configuration_with(std::string(",\"") + key + "\":" + number, ""));
      BOOST_TEST_REQUIRE(read.has_value(), key << " " << number);
      const RouteConfig& route = read->routes.front();
      for (const Duration time : {route.timeout, route.target, route.gap_target,
                                  route.completion_target, route.retention}) {
        BOOST_TEST((time >= Duration{} && time <= kLongest), key << " " << number);
      }
      BOOST_TEST(route.attempts >= 0);
    }
    for (const char* key : {"slots", "kvCacheTokens"}) {
      const auto read = read_configuration(
          configuration_with("", std::string(",\"engine\":{\"") + key + "\":" + number + "}"));
      BOOST_TEST_REQUIRE(read.has_value(), key << " " << number);
      BOOST_TEST(read->services.at("lm").slots >= 0);
    }
    BOOST_TEST(read_configuration(configuration_with("", std::string(",\"maxConns\":") + number))
                   .has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_whose_version_is_no_whole_number_is_rejected) {
  for (const char* number : {"1e300", "-1", "1.5", "\"7\"", "null", "184467440737095516160"}) {
    BOOST_TEST(!read_configuration(std::string(R"({"version":)") + number +
                                   R"(,"routeList":[],"services":[]})")
                    .has_value(),
               number);
  }
}

BOOST_AUTO_TEST_CASE(numbers_in_headers_are_limited) {
  constexpr Duration kLongest = std::chrono::hours(24);
  for (const char* number : kOddNumbers) {
    const RequestInfo info = request_with("Deadline-Ms", number);
    const Duration left = info.time_left.value_or(Duration{});
    BOOST_TEST((left >= Duration{} && left <= kLongest), number);
    request_with("Last-Event-Id", number);
    request_with("Token-Usage", std::string(number) + "," + number);
    request_with("Prompt-Prefix", std::string("1:") + number);
  }
  BOOST_TEST((*request_with("Deadline-Ms", "9223372036854775807").time_left == kLongest));
  const ReplicaAnswer answer = kTraffic.read_answer(
      {200, "OK", {{"Instance-Load", "2147483647,2147483647,2147483647"}}}, "a");
  BOOST_TEST_REQUIRE(answer.load.has_value());
  BOOST_TEST(answer.load->running + answer.load->waiting <= 2'000'000);
  BOOST_TEST(
      kTraffic.read_answer({200, "OK", {{"Instance-Load", "-5,-5,-5"}}}, "a").load->running == 0);
}

// Damages valid documents in many ways; each is read, or rejected, and the next one is read.
BOOST_AUTO_TEST_CASE(damaged_documents_never_end_the_process) {
  const std::string job =
      job_with(R"(,"headers":{"Model":"m","Prompt-Prefix":"9c:300"},"tokenCount":9)");
  const std::string record = replica_record().dump();
  const std::string configuration =
      configuration_with(R"(,"timeoutMs":8000,"attempts":2)", R"(,"engine":{"slots":8})");
  constexpr std::uint64_t kSeeds = 3000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    for (std::string text : {job, record, configuration}) {
      for (int change = 0; change < 3; ++change) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
          case 0:
            text.insert(at, nested(1 + random() % 500));
            break;
          case 1:
            text.insert(at, kOddNumbers[random() % kOddNumbers.size()]);
            break;
          case 2:
            text[at] = static_cast<char>(random());
            break;
          case 3:
            text.erase(at, 1 + random() % 8);
            break;
          default:
            text.insert(at, text.substr(at, random() % 40));
        }
        if (text.empty()) {
          text = "{}";
        }
      }
      read_job(text);
      read_replica(text);
      read_configuration(text);
    }
    BOOST_REQUIRE(read_job(job).has_value());
    BOOST_REQUIRE(read_replica(record).has_value());
    BOOST_REQUIRE(read_configuration(configuration).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
