#include "platform/traffic.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

const platform::PlatformTraffic kTraffic;

net::RequestHead head_with(net::Headers headers) {
  return {"POST", "/x/1", std::move(headers)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_traffic)

BOOST_AUTO_TEST_CASE(api_key_headers_are_counted_case_insensitively) {
  const net::RequestHead head = head_with({{"api-key", "one"}, {"API-KEY", "two"}});
  const Credential credential = kTraffic.read_credential(head);
  BOOST_TEST(credential.count == 2U);
  BOOST_TEST(credential.key == "one");
  BOOST_TEST(kTraffic.read_credential(head_with({})).count == 0U);
}

BOOST_AUTO_TEST_CASE(the_tenant_header_replaces_the_api_key_and_any_caller_value) {
  net::RequestHead head = head_with({{"Api-Key", "secret"},
                                     {"tenant", "other"},
                                     {"TENANT", "third"},
                                     {"Connection", "Tenant"},
                                     {"Attempt-Id", "a"}});
  kTraffic.name_tenant(head, "clinic");
  const net::RequestHead sent = kTraffic.replica_request(head, 0, {"r1", {}, std::nullopt});
  const std::string bytes = net::serialize(sent);
  BOOST_TEST(bytes.find("secret") == std::string::npos);
  BOOST_TEST(bytes.find("other") == std::string::npos);
  BOOST_TEST(bytes.find("third") == std::string::npos);
  BOOST_TEST(sent.headers.get("Tenant") == "clinic");
  BOOST_TEST(sent.headers.get("Attempt-Id") == "a");
}

BOOST_AUTO_TEST_CASE(a_public_route_sets_no_tenant_header) {
  net::RequestHead head = head_with({{"Api-Key", "secret"}, {"Tenant", "other"}});
  kTraffic.name_tenant(head, {});
  BOOST_TEST(!head.headers.has("Tenant"));
  BOOST_TEST(!head.headers.has("Api-Key"));
}

BOOST_AUTO_TEST_CASE(items_use_the_tenant_of_their_job) {
  BatchJob job;
  job.tenant = "clinic";
  job.host = "a.example";
  const BatchItem item{"item-1", "/x/1", {{"tEnAnT", "other"}, {"api-key", "secret"}}, "b", 0};
  const net::RequestHead sent = kTraffic.item_request(job, item, {"r1", {}, std::nullopt});
  BOOST_TEST(sent.headers.get("Tenant") == "clinic");
  BOOST_TEST(net::serialize(sent).find("secret") == std::string::npos);
  BOOST_TEST(net::serialize(sent).find("other") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_job_is_read_under_its_tenant) {
  net::RequestHead head = head_with({{"Attempt-Id", "job-1"}, {"Host", "a.example"}});
  kTraffic.name_tenant(head, "clinic");
  std::string problem;
  const auto job = value_or_problem(
      [&] { return kTraffic.read_job(head, R"({"requests":[{"id":"i","path":"/x/1"}]})"); },
      problem);
  BOOST_TEST_REQUIRE(job.has_value());
  BOOST_TEST(job->tenant == "clinic");
  BOOST_TEST(job->id == tenant_job_id("clinic", "job-1"));
}

namespace {

std::optional<ReportedLoad> load_in(const char* header) {
  const net::ResponseHead head{503, "Busy", {{"Instance-Load", header}, {"Not-Executed", "1"}}};
  return kTraffic.read_answer(head, "a").load;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_replica_load_is_read_with_or_without_pace) {
  const auto three = load_in("3,1,8");
  BOOST_TEST_REQUIRE(three.has_value());
  BOOST_TEST(three->running == 3);
  BOOST_TEST(three->waiting == 1);
  BOOST_TEST(three->slots == 8);
  BOOST_TEST(!three->pace.has_value());
  BOOST_TEST(!three->pace_unreadable);
  const auto four = load_in("3,1,8,250");
  BOOST_TEST_REQUIRE(four.has_value());
  BOOST_TEST(four->running == 3);
  BOOST_TEST(four->slots == 8);
  BOOST_TEST(four->pace.value_or(0) == 2.5);
  BOOST_TEST(!load_in("").has_value());
  BOOST_TEST(!load_in("3,1").has_value());
  BOOST_TEST(!load_in("3,1,8,100,7").has_value());
}

BOOST_AUTO_TEST_CASE(an_invalid_pace_is_ignored_and_the_other_load_fields_are_kept) {
  for (const char* header :
       {"6,2,6,0", "6,2,6,-100", "6,2,6,99999999", "6,2,6,99999999999999999999", "6,2,6,fast",
        "6,2,6,1e2", "6,2,6, 100"}) {
    const auto load = load_in(header);
    BOOST_TEST_REQUIRE(load.has_value(), header);
    BOOST_TEST(load->running == 6, header);
    BOOST_TEST(load->waiting == 2, header);
    BOOST_TEST(load->slots == 6, header);
    BOOST_TEST(!load->pace.has_value(), header);
    BOOST_TEST(load->pace_unreadable, header);
  }
}

BOOST_AUTO_TEST_SUITE_END()
