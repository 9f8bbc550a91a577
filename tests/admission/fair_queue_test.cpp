#include "dockpoint/admission/fair_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

#include "dockpoint/admission/retry_budget.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using test::at;

namespace {

QueuedRequest request(std::uint64_t id, const std::string& tenant, int weight = 1,
                      double tokens = 10) {
  return {id, tenant, tokens, weight, at(1'000'000)};
}

const auto kAny = [](const QueuedRequest&) { return true; };

}  // namespace

BOOST_AUTO_TEST_SUITE(fair_queue)

BOOST_AUTO_TEST_CASE(tenants_are_served_in_turn_regardless_of_queue_length) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 90; ++id) {
    queue.push(request(id, "greedy"), 1000);
  }
  for (std::uint64_t id = 100; id < 110; ++id) {
    queue.push(request(id, "modest"), 1000);
  }
  std::map<std::string, int> served;
  for (int turn = 0; turn < 20; ++turn) {
    ++served[queue.pop(kAny)->tenant];
  }
  BOOST_TEST(served["greedy"] == 10);
  BOOST_TEST(served["modest"] == 10);
}

BOOST_AUTO_TEST_CASE(service_is_proportional_to_weight) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.push(request(id, "heavy", 3), 1000);
    queue.push(request(1000 + id, "light", 1), 1000);
  }
  std::map<std::string, int> served;
  for (int turn = 0; turn < 80; ++turn) {
    ++served[queue.pop(kAny)->tenant];
  }
  BOOST_TEST(served["heavy"] == 60);
  BOOST_TEST(served["light"] == 20);
}

BOOST_AUTO_TEST_CASE(a_full_queue_accepts_a_tenant_below_its_share_by_displacing_a_request) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 10; ++id) {
    BOOST_TEST(queue.push(request(id, "greedy"), 10).accepted);
  }
  BOOST_TEST(!queue.push(request(10, "greedy"), 10).accepted);
  const FairQueue::PushResult pushed = queue.push(request(20, "modest"), 10);
  BOOST_TEST(pushed.accepted);
  BOOST_TEST(pushed.displaced.value() == 9U);
  BOOST_TEST(queue.size() == 10U);
}

BOOST_AUTO_TEST_CASE(an_idle_tenant_accumulates_no_credit) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.push(request(id, "steady"), 1000);
  }
  for (int turn = 0; turn < 50; ++turn) {
    queue.pop(kAny);
  }
  for (std::uint64_t id = 200; id < 240; ++id) {
    queue.push(request(id, "late"), 1000);
  }
  int late = 0;
  for (int turn = 0; turn < 20; ++turn) {
    late += queue.pop(kAny)->tenant == "late" ? 1 : 0;
  }
  BOOST_TEST(late >= 9);
  BOOST_TEST(late <= 11);
}

BOOST_AUTO_TEST_CASE(requests_expire_and_can_be_removed) {
  FairQueue queue;
  QueuedRequest soon = request(1, "a");
  soon.deadline = at(10);
  queue.push(soon, 10);
  queue.push(request(2, "a"), 10);
  BOOST_TEST(queue.expire(at(10)).size() == 1U);
  BOOST_TEST(queue.remove(2));
  BOOST_TEST(!queue.remove(2));
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget) {
  Knobs knobs;
  knobs.retry_budget_reserve = 2;
  RetryBudget budget(knobs);
  budget.set_percent(10);
  int retries = 0;
  for (int request_number = 0; request_number < 1000; ++request_number) {
    retries += budget.try_spend() ? 1 : 0;
    budget.record_success();
  }
  BOOST_TEST(retries <= 102);
  BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_SUITE_END()
