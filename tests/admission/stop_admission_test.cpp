#include "dockpoint/admission/stop_admission.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "support/fleet.hpp"

using namespace dockpoint;
using std::chrono::milliseconds;
using test::at;

namespace {

constexpr int kExit = 7'700;
constexpr int kAddressesValid = 3'000;

StopAdmission stopping_node() {
  StopAdmission admission;
  admission.begin(at(kExit), at(kAddressesValid));
  return admission;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stop_admission)

BOOST_AUTO_TEST_CASE(a_running_node_accepts_every_request) {
  const StopAdmission admission;
  BOOST_TEST(admission.accepts(at(0), at(60'000), milliseconds(60'000)));
}

// Guards against requests that are accepted long after the stop and cut when the process exits.
BOOST_AUTO_TEST_CASE(no_request_accepted_after_the_addresses_expired_is_cut) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    const StopAdmission admission = stopping_node();
    std::uniform_int_distribution<int> arrival(kAddressesValid + 1, kExit);
    std::uniform_int_distribution<int> limit(100, 8'000);
    std::lognormal_distribution<double> length(6.3, 0.9);  // Median 545 ms, one in 1,000 over 8 s.
    for (int request = 0; request < 50; ++request) {
      const int arrives = arrival(random);
      const int allowed = limit(random);
      const int takes = std::min(allowed, static_cast<int>(length(random)));
      if (admission.accepts(at(arrives), at(arrives + allowed), milliseconds(500))) {
        BOOST_TEST_REQUIRE(arrives + takes < kExit, "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(callers_with_valid_addresses_are_served_if_the_answer_usually_ends_in_time) {
  const StopAdmission admission = stopping_node();
  BOOST_TEST(admission.accepts(at(2'900), at(10'900), milliseconds(4'500)));
  BOOST_TEST(!admission.accepts(at(2'900), at(10'900), milliseconds(4'700)));
  BOOST_TEST(!admission.accepts(at(3'100), at(11'100), milliseconds(100)));
}

// Guards against a route without recent answers whose requests are taken as if they took no time.
BOOST_AUTO_TEST_CASE(a_request_whose_usual_time_is_not_known_is_judged_by_its_limit) {
  const StopAdmission admission = stopping_node();
  BOOST_TEST(!admission.accepts(at(2'900), at(10'900), std::nullopt));
  BOOST_TEST(!admission.accepts(at(0), at(7'600), std::nullopt));
  BOOST_TEST(admission.accepts(at(0), at(7'500), std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_attempt_is_sent_only_if_it_is_expected_to_end_before_the_exit) {
  const StopAdmission running;
  BOOST_TEST(running.ends_in_time(at(0), at(60'000), std::nullopt));
  const StopAdmission admission = stopping_node();
  // The addresses have expired, but the request was accepted before.
  BOOST_TEST(admission.ends_in_time(at(5'000), at(12'000), milliseconds(2'500)));
  BOOST_TEST(!admission.ends_in_time(at(5'001), at(12'000), milliseconds(2'500)));
  BOOST_TEST(admission.ends_in_time(at(5'001), at(7'500), milliseconds(2'500)));
  BOOST_TEST(!admission.ends_in_time(at(5'000), at(12'000), std::nullopt));
}

// A replay of a stop: what is accepted has an answer or a final answer before the exit.
BOOST_AUTO_TEST_CASE(final_answers_are_due_after_the_last_expected_answer_and_before_the_exit) {
  BOOST_TEST(!StopAdmission{}.final_answers_due(at(1'000'000)));
  const StopAdmission admission = stopping_node();
  int due = 0;
  while (!admission.final_answers_due(at(due))) {
    ++due;
  }
  BOOST_TEST(due > kExit - 200);
  BOOST_TEST(due < kExit);
  for (int now = 0; now < kExit; ++now) {
    const bool taken = admission.ends_in_time(at(now), at(20'000), milliseconds(1'000));
    BOOST_TEST_REQUIRE((!taken || now + 1'000 < due));
  }
}

BOOST_AUTO_TEST_CASE(a_request_whose_limit_ends_before_the_exit_is_accepted_late) {
  const StopAdmission admission = stopping_node();
  BOOST_TEST(admission.accepts(at(5'900), at(7'400), std::nullopt));
  BOOST_TEST(!admission.accepts(at(6'100), at(7'600), std::nullopt));
}

BOOST_AUTO_TEST_CASE(the_longest_answer_is_forgotten_after_two_windows) {
  AnswerTimes times;
  BOOST_TEST(!times.longest("route", at(0)).has_value());
  times.record("route", milliseconds(4'000), at(1'000));
  times.record("route", milliseconds(500), at(2'000));
  BOOST_TEST((times.longest("route", at(61'000)) == milliseconds(4'000)));
  times.record("route", milliseconds(600), at(90'000));
  BOOST_TEST((times.longest("route", at(100'000)) == milliseconds(4'000)));
  BOOST_TEST((times.longest("route", at(130'000)) == milliseconds(600)));
  BOOST_TEST(!times.longest("route", at(300'000)).has_value());
  BOOST_TEST(!times.longest("other", at(2'000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
