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
  /// Another node tells of `total` requests, the last `recent` of them lately.
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
  BOOST_TEST(burst <= 10 + 7);  // A fifth of the tolerance of (10 x 5 + 10) x 0.1 + 20.
  run(1'000);
  const int later = admitted_of(100);
  BOOST_TEST(later >= 9);
  BOOST_TEST(later <= 11);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_the_next_token_is_there) {
  run(10'000);
  admitted_of(100);
  const RateVerdict verdict = limiter.admit(tenant, at(now));
  BOOST_TEST(!verdict.admitted);
  BOOST_TEST(to_ms(verdict.retry_after) >= 50);
  BOOST_TEST(to_ms(verdict.retry_after) <= 400);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_grants_no_second_burst) {
  run(200);
  BOOST_TEST(admitted_of(100) == 0);
}

BOOST_AUTO_TEST_CASE(tenants_without_a_limit_are_not_counted) {
  tenant.rate = {};
  BOOST_TEST(admitted_of(100) == 100);
  BOOST_TEST(limiter.accounts() == 0U);
}

BOOST_AUTO_TEST_CASE(what_other_nodes_admit_is_taken_out_once_however_often_it_is_told) {
  run(10'000);
  for (int repeat = 0; repeat < 4; ++repeat) {
    hear(7, 1, 20, 20);
    run(50);
  }
  BOOST_TEST(admitted_of(100) <= 5);
}

BOOST_AUTO_TEST_CASE(a_lost_digest_is_made_up_for_by_the_next) {
  run(10'000);
  hear(7, 1, 1, 1);
  run(1'000);
  hear(7, 1, 21, 2);  // The digests with totals from 2 to 19 were lost.
  BOOST_TEST(admitted_of(100) <= 5);
}

BOOST_AUTO_TEST_CASE(a_restart_of_another_node_is_no_spending) {
  run(10'000);
  hear(7, 1, 4'000'000'000U, 0);
  run(200);
  hear(7, 2, 1, 1);
  BOOST_TEST(admitted_of(100) >= 10);
}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_gives_its_token_back_here_and_elsewhere) {
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

BOOST_AUTO_TEST_CASE(a_report_that_another_one_has_overtaken_changes_nothing) {
  run(10'000);
  const SpendReport older{1, 1, 2, {{tenant_key("clinic"), 3, 3}}};
  const SpendReport newer{1, 2, 2, {{tenant_key("clinic"), 2, 2}}};
  limiter.merge_report(7, newer, at(now));
  const double before = limiter.admit(tenant, at(now)).tokens;
  limiter.merge_report(7, older, at(now));
  limiter.merge_report(7, newer, at(now));
  BOOST_TEST(limiter.admit(tenant, at(now)).tokens == before - 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_half_of_the_others_has_half_of_the_limit) {
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

BOOST_AUTO_TEST_CASE(a_node_that_stood_still_begins_with_empty_buckets) {
  run(10'000);
  admitted_of(1);
  now += 4'000;
  BOOST_TEST(admitted_of(100) == 0);
  run(1'000);
  BOOST_TEST(admitted_of(100) > 0);
}

BOOST_AUTO_TEST_CASE(a_node_that_should_hear_others_and_does_not_has_a_small_part) {
  limiter.expect_others(true);
  run(10'000);
  const RateVerdict verdict = limiter.admit(tenant, at(now));
  BOOST_TEST(verdict.known == knobs.rate_start_nodes);
  BOOST_TEST(admitted_of(100) <= 1);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_holds_at_once) {
  run(10'000);
  tenant.rate = {1, 1};
  limiter.set_limits(TenantDirectory::build({tenant}).value());
  limiter.tick(at(now));
  BOOST_TEST(admitted_of(100) <= 1 + 6);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_why) {
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

// A burst that all nodes see at once: each takes itself for one among all until the others' news
// comes, however many requests it has seen itself.
BOOST_AUTO_TEST_CASE(a_sudden_burst_does_not_raise_the_share_of_the_node) {
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

// Others have overspent: while the debt is small, requests are admitted at a lower pace than the
// limit's rate, and not refused until all of it is paid.
BOOST_AUTO_TEST_CASE(a_small_debt_is_paid_while_requests_are_admitted) {
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

BOOST_AUTO_TEST_CASE(an_account_that_nobody_uses_is_dropped) {
  run(10'000);
  admitted_of(1);
  BOOST_TEST(limiter.accounts() == 1U);
  run(20'000);
  BOOST_TEST(limiter.accounts() == 0U);
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_removed_and_comes_back_refunds_nothing) {
  hear(7, 1, 100, 0);
  run(10'000);
  limiter.set_limits(TenantDirectory{});
  run(1'000);
  limiter.set_limits(tenants);
  run(100);
  const double before = limiter.admit(tenant, at(now)).tokens;
  hear(7, 1, 1, 1);  // The other node counts from zero, too.
  BOOST_TEST(limiter.admit(tenant, at(now)).tokens < before);
}

BOOST_AUTO_TEST_SUITE_END()
