#include "dockpoint/admission/tenant_rate_limiter.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr RateWindow kWindow{std::chrono::seconds(5), 0.1, 20};

struct Fixture {
  Knobs knobs;
  Tenant tenant{"clinic", 0, {10, 10}, {"key"}};
  TenantDirectory tenants = TenantDirectory::build({tenant}).value();
  TenantRateLimiter limiter{knobs, kWindow, 1};
  std::int64_t now = 0;
  std::uint32_t reports = 0;

  Fixture() { limiter.set_limits(tenants); }

  void run(std::int64_t milliseconds) {
    for (const std::int64_t end = now + milliseconds; now < end; now += 50) {
      limiter.tick(at(now));
    }
  }
  int admitted_of(int requests) {
    int admitted = 0;
    for (int request = 0; request < requests; ++request) {
      admitted += limiter.admit(tenant, at(now)).admitted ? 1 : 0;
    }
    return admitted;
  }
  /// Another node reports `total` requests, the last `recent` of them recent.
  void hear(std::uint32_t node, std::uint32_t run_number, std::uint32_t total,
            std::uint32_t recent) {
    limiter.merge_report(node, {run_number, ++reports, 2, {{tenant_key("clinic"), total, recent}}},
                         at(now));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tenant_rate_limiter, Fixture)

BOOST_AUTO_TEST_CASE(a_lone_node_grants_the_burst_and_then_the_rate) {
  run(10'000);
  const int burst = admitted_of(100);
  BOOST_TEST(burst >= 10);
  BOOST_TEST(burst <= 10 + 7);  // Plus a fifth of the tolerance: (10 x 5 + 10) x 0.1 + 20.
  run(1'000);
  const int later = admitted_of(100);
  BOOST_TEST(later >= 9);
  BOOST_TEST(later <= 11);
}

BOOST_AUTO_TEST_CASE(a_refusal_gives_the_time_until_the_next_token) {
  run(10'000);
  admitted_of(100);
  const RateVerdict verdict = limiter.admit(tenant, at(now));
  BOOST_TEST(!verdict.admitted);
  BOOST_TEST(to_ms(verdict.retry_after) >= 50);
  BOOST_TEST(to_ms(verdict.retry_after) <= 400);
}

BOOST_AUTO_TEST_CASE(a_starting_node_grants_no_second_burst) {
  run(200);
  BOOST_TEST(admitted_of(100) == 0);
}

BOOST_AUTO_TEST_CASE(tenants_without_a_limit_are_not_tracked) {
  tenant.rate = {};
  BOOST_TEST(admitted_of(100) == 100);
  BOOST_TEST(limiter.accounts() == 0U);
}

BOOST_AUTO_TEST_CASE(requests_admitted_by_other_nodes_are_deducted_once_despite_repeated_reports) {
  run(10'000);
  for (int repeat = 0; repeat < 4; ++repeat) {
    hear(7, 1, 20, 20);
    run(50);
  }
  BOOST_TEST(admitted_of(100) <= 5);
}

BOOST_AUTO_TEST_CASE(the_next_digest_compensates_for_lost_ones) {
  run(10'000);
  hear(7, 1, 1, 1);
  run(1'000);
  hear(7, 1, 21, 2);  // The digests with totals from 2 to 19 were lost.
  BOOST_TEST(admitted_of(100) <= 5);
}

BOOST_AUTO_TEST_CASE(a_restart_of_another_node_is_not_counted_as_spending) {
  run(10'000);
  hear(7, 1, 4'000'000'000U, 0);
  run(200);
  hear(7, 2, 1, 1);
  BOOST_TEST(admitted_of(100) >= 10);
}

BOOST_AUTO_TEST_CASE(a_refund_returns_the_token_on_this_and_on_other_nodes) {
  run(10'000);
  BOOST_TEST(limiter.admit(tenant, at(now)).admitted);
  const std::uint32_t told = limiter.report(at(now)).spends.front().total;
  limiter.refund(tenant, at(now));
  const SpendReport report = limiter.report(at(now));  // The second one.
  BOOST_TEST(report.spends.front().total == told - 1);
  TenantRateLimiter other(knobs, kWindow, 2);
  other.set_limits(tenants);
  other.tick(at(0));
  other.merge_report(1, {1, 1, 2, {{tenant_key("clinic"), told, 1}}}, at(now));
  const double before = other.admit(tenant, at(now)).tokens;
  other.merge_report(1, report, at(now));
  BOOST_TEST(other.admit(tenant, at(now)).tokens >= before - 1 + 1);
}

BOOST_AUTO_TEST_CASE(duplicate_and_overtaken_reports_are_ignored) {
  run(10'000);
  const SpendReport older{1, 1, 2, {{tenant_key("clinic"), 3, 3}}};
  const SpendReport newer{1, 2, 2, {{tenant_key("clinic"), 2, 2}}};
  limiter.merge_report(7, newer, at(now));
  const double before = limiter.admit(tenant, at(now)).tokens;
  limiter.merge_report(7, older, at(now));
  limiter.merge_report(7, newer, at(now));
  BOOST_TEST(limiter.admit(tenant, at(now)).tokens == before - 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_half_of_the_fleet_has_half_of_the_limit) {
  for (int round = 0; round < 100; ++round) {
    run(100);
    hear(7, 1, 0, 0);
  }
  run(4'000);  // Node 7 is silent, and may be serving.
  admitted_of(200);
  run(1'000);
  const int admitted = admitted_of(200);
  BOOST_TEST(admitted >= 4);
  BOOST_TEST(admitted <= 6);
}

BOOST_AUTO_TEST_CASE(a_node_resumes_from_a_pause_with_empty_buckets) {
  run(10'000);
  admitted_of(1);
  now += 4'000;
  BOOST_TEST(admitted_of(100) == 0);
  run(1'000);
  BOOST_TEST(admitted_of(100) > 0);
}

BOOST_AUTO_TEST_CASE(
    a_node_that_hears_none_of_its_expected_peers_has_a_small_fraction_of_the_limit) {
  limiter.expect_others(true);
  run(10'000);
  const RateVerdict verdict = limiter.admit(tenant, at(now));
  BOOST_TEST(verdict.known == knobs.rate_start_nodes);
  BOOST_TEST(admitted_of(100) <= 1);
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_takes_effect_immediately) {
  run(10'000);
  tenant.rate = {1, 1};
  limiter.set_limits(TenantDirectory::build({tenant}).value());
  limiter.tick(at(now));
  BOOST_TEST(admitted_of(100) <= 1 + 6);
}

BOOST_AUTO_TEST_CASE(a_refusal_gives_its_reason) {
  const auto reason = [&] { return limiter.admit(tenant, at(now)).refusal; };
  run(50);
  BOOST_TEST((reason() == RateRefusal::kStarting));
  run(10'000);
  admitted_of(5);
  hear(7, 1, 30, 30);
  BOOST_TEST((reason() == RateRefusal::kOverLimit));
  run(4'000);  // Node 7 is silent.
  admitted_of(200);
  BOOST_TEST((reason() == RateRefusal::kCutOff));
}

// In a burst that reaches all nodes at once, each node must keep its previous share until reports
// of the others arrive, however many requests it has received itself.
BOOST_AUTO_TEST_CASE(unreported_requests_do_not_raise_the_share_of_a_node) {
  for (int round = 0; round < 100; ++round) {
    for (std::uint32_t node = 1; node < 10; ++node) {
      hear(node, 1, 0, 0);
    }
    run(100);
  }
  const double before = limiter.admit(tenant, at(now)).share;
  admitted_of(100);
  BOOST_TEST(limiter.admit(tenant, at(now)).share <= before);
}

// Other nodes have overspent: while the debt is small, requests are admitted at a pace below the
// limit's rate, rather than refused until the whole debt is paid.
BOOST_AUTO_TEST_CASE(a_small_debt_is_paid_off_while_requests_are_still_admitted) {
  run(10'000);
  admitted_of(15);
  run(1'000);
  hear(7, 1, 20, 20);
  int admitted_in_debt = 0;
  for (int round = 0; round < 8; ++round) {
    run(100);
    hear(7, 1, 20, 20);
    const RateVerdict verdict = limiter.admit(tenant, at(now));
    admitted_in_debt += verdict.admitted && verdict.tokens < 0 ? 1 : 0;
  }
  BOOST_TEST(admitted_in_debt >= 1);
  BOOST_TEST(admitted_in_debt <= 8);
}

BOOST_AUTO_TEST_CASE(an_idle_account_is_dropped) {
  run(10'000);
  admitted_of(1);
  BOOST_TEST(limiter.accounts() == 1U);
  run(20'000);
  BOOST_TEST(limiter.accounts() == 0U);
}

BOOST_AUTO_TEST_CASE(removing_and_restoring_a_limit_refunds_nothing) {
  hear(7, 1, 100, 0);
  run(10'000);
  limiter.set_limits(TenantDirectory{});
  run(1'000);
  limiter.set_limits(tenants);
  run(100);
  const double before = limiter.admit(tenant, at(now)).tokens;
  hear(7, 1, 1, 1);  // The other node counts from zero as well.
  BOOST_TEST(limiter.admit(tenant, at(now)).tokens < before);
}

BOOST_AUTO_TEST_SUITE_END()
