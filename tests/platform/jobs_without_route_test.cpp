/// Tests what becomes of the items of a job whose route the operator removes.

#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kReplicaPort = 28'191;
constexpr std::uint16_t kOtherPort = 28'192;

/// `finishS` of the users' sheets: a job's items are listed within this time.
constexpr Duration kFinishTime = std::chrono::seconds(18);

/// @return a version without the batch route.
std::string without_batch_route(int version) {
  auto document = nlohmann::json::parse(route_configuration(version));
  document["routeList"].erase(1);
  return document.dump();
}

/// @return a version in which a route of kind `idempotent` to another service, for every path,
/// takes the place of the batch route.
std::string with_catch_all_route(int version, const std::string& service) {
  auto document = nlohmann::json::parse(route_configuration(version));
  auto& route = document["routeList"][1];
  route = document["routeList"][0];
  route["name"] = "all";
  route["pathPrefix"] = "/";
  route["service"] = service;
  document["services"].push_back(document["services"][0]);
  document["services"][1]["name"] = service;
  return document.dump();
}

/// A node with a job of two items that no replica takes yet, and a replica of another service.
struct Fixture : JobFixture {
  StandInReplica other{loop, "other", kOtherPort, [](const net::ExchangePtr& exchange) {
                         exchange->respond(200, genuine_headers(exchange), "id: 1\ndata: x\n\n");
                       }};
  StandInReplica replica{loop, "r1", kReplicaPort, [](const net::ExchangePtr& exchange) {
                           exchange->respond(200, genuine_headers(exchange), "id: 1\ndata: a\n\n");
                         }};

  Fixture() {
    auto record = replica_record("127.0.0.1:" + std::to_string(kOtherPort));
    record["service"] = "other";
    store.put(platform::kReplicasTopic, "other", record.dump());
    start();
    submit("job", "/batch/", 2);
    BOOST_TEST(results_of("job").empty());
  }

  /// Waits until the node has the version of the configuration.
  void wait_for_version(int version) {
    const std::string gauge =
        "\ndockpoint_gateway_configuration_version " + std::to_string(version);
    std::optional<net::SimpleCall::Outcome> page;
    while (!page || page->body.find(gauge) == std::string::npos) {
      page.reset();
      net::SimpleCall::start(
          caller, loop, {*Address::parse(GatewayNode::address(1, 5)), "metrics"},
          net::serialize(net::RequestHead{"GET", "/metrics", {{"Host", "node"}}}), {},
          std::chrono::seconds(5),
          [&](net::SimpleCall::Outcome outcome) { page = std::move(outcome); });
      run_until([&] { return page.has_value(); });
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(jobs_without_route, Fixture)

// Guards against items that are neither run nor listed after their route was removed.
BOOST_AUTO_TEST_CASE(items_are_given_up_after_their_route_is_removed) {
  put_configuration(without_batch_route(4));
  const nlohmann::json results = wait_for_results("job", 2, kFinishTime);
  BOOST_TEST_REQUIRE(results.size() == 2U);
  for (const nlohmann::json& result : results) {
    BOOST_TEST(result["state"] == "dead_lettered");
  }
}

// Guards against items that run at the service of a route of another kind.
BOOST_AUTO_TEST_CASE(items_do_not_run_on_routes_of_other_kinds) {
  put_configuration(with_catch_all_route(4, "other"));
  BOOST_TEST(wait_for_results("job", 2, kFinishTime).size() == 2U);
  BOOST_TEST(other.requests() == 0);
}

BOOST_AUTO_TEST_CASE(items_run_if_their_route_comes_back_soon) {
  put_configuration(without_batch_route(4));
  wait_for_version(4);
  put_configuration(route_configuration(5));
  wait_for_version(5);
  add_replica(kReplicaPort);
  const nlohmann::json results = wait_for_results("job", 2, kFinishTime);
  BOOST_TEST_REQUIRE(results.size() == 2U);
  for (const nlohmann::json& result : results) {
    BOOST_TEST(result["state"] == "succeeded");
  }
}

BOOST_AUTO_TEST_CASE(the_next_owner_gives_up_items_whose_route_was_removed) {
  put_configuration(without_batch_route(4));
  wait_for_version(4);
  node.reset();
  loop.restart();
  start();
  BOOST_TEST(wait_for_results("job", 2, kFinishTime).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
