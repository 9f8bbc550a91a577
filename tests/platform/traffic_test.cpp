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

BOOST_AUTO_TEST_CASE(keys_are_counted_whatever_the_spelling_of_their_header) {
  const net::RequestHead head = head_with({{"api-key", "one"}, {"API-KEY", "two"}});
  const Credential credential = kTraffic.read_credential(head);
  BOOST_TEST(credential.count == 2U);
  BOOST_TEST(credential.key == "one");
  BOOST_TEST(kTraffic.read_credential(head_with({})).count == 0U);
}

BOOST_AUTO_TEST_CASE(the_tenant_takes_the_place_of_the_key_and_of_whatever_the_caller_said) {
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

BOOST_AUTO_TEST_CASE(on_a_public_route_no_tenant_is_named) {
  net::RequestHead head = head_with({{"Api-Key", "secret"}, {"Tenant", "other"}});
  kTraffic.name_tenant(head, {});
  BOOST_TEST(!head.headers.has("Tenant"));
  BOOST_TEST(!head.headers.has("Api-Key"));
}

BOOST_AUTO_TEST_CASE(items_run_under_the_tenant_of_their_job_whatever_their_headers_say) {
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

BOOST_AUTO_TEST_SUITE_END()
