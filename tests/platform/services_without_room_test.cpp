/// Tests that batch items of a service without a free replica hold up no items of other services.

#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/job_fixture.hpp"
#include "platform/stand_ins.hpp"

using namespace dockpoint;
using namespace dockpoint::test;

namespace {

constexpr std::uint16_t kSmallPort = 28'195;
constexpr std::uint16_t kLargePort = 28'196;

/// More than a node may run at a time.
constexpr int kItemsOfLargeModel = 40;
constexpr int kItemsOfSmallModel = 12;

/// `finishS` of the users' sheets: a job's items are listed within this time.
constexpr Duration kFinishTime = std::chrono::seconds(18);

/// @return a configuration with a batch route to service `lm` and one to service `large`.
std::string two_batch_routes() {
  auto document = nlohmann::json::parse(route_configuration(4));
  auto route = document["routeList"][1];
  route["name"] = "reports";
  route["pathPrefix"] = "/reports/";
  route["service"] = "large";
  document["routeList"].push_back(route);
  auto service = document["services"][0];
  service["name"] = "large";
  document["services"].push_back(service);
  return document.dump();
}

void answer(const net::ExchangePtr& exchange) {
  exchange->respond(200, genuine_headers(exchange), "id: 1\ndata: a\n\n");
}

struct Fixture : JobFixture {
  StandInReplica small{loop, "r" + std::to_string(kSmallPort), kSmallPort, answer};
  std::vector<net::ExchangePtr> held;  ///< Runs that the large model does not end.
  StandInReplica large{loop, "large", kLargePort, [this](const net::ExchangePtr& exchange) {
                         exchange->begin({200, {}, genuine_headers(exchange)});
                         held.push_back(exchange);
                       }};

  Fixture() {
    put_configuration(two_batch_routes());
    add_replica(kSmallPort);
  }

  void add_large_replica(const std::string& state = "ready") {
    auto record = replica_record("127.0.0.1:" + std::to_string(kLargePort), 4, state);
    record["service"] = "large";
    store.put(platform::kReplicasTopic, "large", record.dump());
  }

  void check_that_items_of_small_model_run() {
    start();
    submit("reports", "/reports/", kItemsOfLargeModel);
    BOOST_TEST(results_of("reports").empty());
    submit("notices", "/batch/", kItemsOfSmallModel);
    BOOST_TEST(wait_for_results("notices", kItemsOfSmallModel, kFinishTime).size() ==
               static_cast<std::size_t>(kItemsOfSmallModel));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(services_without_room, Fixture)

// Guards against items that stand still behind those of a model without any replica.
BOOST_AUTO_TEST_CASE(items_run_beside_a_model_whose_replica_is_lost) {
  check_that_items_of_small_model_run();
}

BOOST_AUTO_TEST_CASE(items_run_beside_a_model_whose_replica_drains) {
  add_large_replica("draining");
  check_that_items_of_small_model_run();
}

BOOST_AUTO_TEST_CASE(items_run_beside_a_model_whose_replica_has_all_slots_taken) {
  add_large_replica();
  check_that_items_of_small_model_run();
  BOOST_TEST(!held.empty());
}

// Guards against overdue items of a model that comes back which take all of the node's share.
BOOST_AUTO_TEST_CASE(items_run_while_those_of_a_model_that_comes_back_do) {
  start();
  submit("reports", "/reports/", kItemsOfLargeModel);
  BOOST_TEST(results_of("reports").empty());
  add_large_replica();
  run_until([&] { return !held.empty(); });
  submit("notices", "/batch/", kItemsOfSmallModel);
  BOOST_TEST(wait_for_results("notices", kItemsOfSmallModel, kFinishTime).size() ==
             static_cast<std::size_t>(kItemsOfSmallModel));
}

BOOST_AUTO_TEST_SUITE_END()
