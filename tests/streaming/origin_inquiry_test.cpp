#include "dockpoint/streaming/origin_inquiry.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = TimePoint{} + 1000s;
/// A view with a single version, confirmed by the log.
const VersionView kConfirmed{StreamOrigin{"lm", "v1"}, false, true, true};
/// The same before the log has confirmed it.
const VersionView kUnconfirmed{StreamOrigin{"lm", "v1"}, false, true, false};

struct Fixture {
  Knobs knobs;
  OriginInquiry inquiry{{"a", "b"}, kNow};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(origin_inquiry, Fixture)

BOOST_AUTO_TEST_CASE(the_first_record_decides) {
  BOOST_TEST(!inquiry.verdict(kConfirmed, kNow, knobs).has_value());
  inquiry.add_record("a", {"lm", "v2"});
  const auto verdict = inquiry.verdict(kConfirmed, kNow, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->origin.software_version == "v2");
  BOOST_TEST((verdict->source == OriginSource::kPeerRecord));
}

BOOST_AUTO_TEST_CASE(without_a_record_a_sole_version_is_assumed_once_all_have_answered) {
  inquiry.add_unknown("a", false);
  BOOST_TEST(!inquiry.verdict(kConfirmed, kNow, knobs).has_value());
  inquiry.add_unknown("b", false);
  const auto verdict = inquiry.verdict(kConfirmed, kNow, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->origin == *kConfirmed.sole));
  BOOST_TEST((verdict->source == OriginSource::kSoleVersion));
}

BOOST_AUTO_TEST_CASE(no_version_is_assumed_if_a_peer_has_seen_several) {
  inquiry.add_unknown("a", true);
  inquiry.add_unknown("b", false);
  const auto verdict = inquiry.verdict(kConfirmed, kNow, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->origin.unknown());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_CASE(no_version_is_assumed_if_this_node_sees_several) {
  const VersionView several{std::nullopt, true, true, true};
  const auto verdict = inquiry.verdict(several, kNow + knobs.stream_origin_question_limit, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_CASE(no_version_is_assumed_if_this_node_has_seen_none) {
  const VersionView none{std::nullopt, false, true, true};
  const auto verdict = inquiry.verdict(none, kNow + knobs.stream_origin_question_limit, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->source == OriginSource::kUnknown));
}

BOOST_AUTO_TEST_CASE(silent_nodes_are_asked_again_and_waited_for_until_the_limit) {
  inquiry.add_unknown("a", false);
  BOOST_TEST(!inquiry.repeat_due(kNow, knobs));
  const TimePoint later = kNow + knobs.stream_origin_question_repeat;
  BOOST_TEST(inquiry.repeat_due(later, knobs));
  BOOST_TEST(!inquiry.repeat_due(later, knobs));
  BOOST_TEST((inquiry.awaited() == std::set<std::string>{"b"}));
  BOOST_TEST(!inquiry.verdict(kConfirmed, later, knobs).has_value());
  BOOST_TEST(
      inquiry.verdict(kConfirmed, kNow + knobs.stream_origin_question_limit, knobs).has_value());
}

BOOST_AUTO_TEST_CASE(no_version_is_assumed_before_the_log_has_confirmed_the_view) {
  inquiry.add_unknown("a", false);
  inquiry.add_unknown("b", false);
  BOOST_TEST(inquiry.needs_confirmation(kUnconfirmed));
  BOOST_TEST(!inquiry.verdict(kUnconfirmed, kNow, knobs).has_value());
  const auto verdict =
      inquiry.verdict(kUnconfirmed, kNow + knobs.stream_origin_confirmation_limit, knobs);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->origin.unknown());
  BOOST_TEST((verdict->source == OriginSource::kUnconfirmed));
}

BOOST_AUTO_TEST_CASE(silence_of_all_other_nodes_is_no_agreement) {
  for (const Duration age :
       {knobs.stream_origin_question_limit, knobs.stream_origin_confirmation_limit}) {
    const auto verdict = inquiry.verdict(kUnconfirmed, kNow + age, knobs);
    BOOST_TEST((!verdict || verdict->source == OriginSource::kUnconfirmed));
  }
}

BOOST_AUTO_TEST_CASE(the_log_is_not_waited_for_if_several_versions_are_known) {
  inquiry.add_unknown("a", true);
  inquiry.add_unknown("b", false);
  BOOST_TEST(!inquiry.needs_confirmation(kUnconfirmed));
  BOOST_TEST(inquiry.verdict(kUnconfirmed, kNow, knobs).has_value());
}

BOOST_AUTO_TEST_CASE(answers_are_waited_for_anew_after_a_pause) {
  const TimePoint later = kNow + knobs.stream_origin_confirmation_limit;
  inquiry.restart(later);
  BOOST_TEST(!inquiry.verdict(kConfirmed, later, knobs).has_value());
  BOOST_TEST(
      inquiry.verdict(kConfirmed, later + knobs.stream_origin_question_limit, knobs).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
