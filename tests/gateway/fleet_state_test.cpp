#include "gateway/fleet_state.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

FleetState whole_state() {
  return {7, "routes", true, 40, {{"r1", "a"}, {"r2", "b"}}, {{0, "10.0.0.1:80"}}, 9, {"zone-a"}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_state)

BOOST_AUTO_TEST_CASE(request_target_carries_the_known_version_and_position) {
  const FleetKnowledge parsed = asker_knowledge(fleet_state_target({12, true, 345}));
  BOOST_TEST(parsed.version == 12U);
  BOOST_TEST(parsed.replicas_known);
  BOOST_TEST(parsed.replicas_position == 345U);
  BOOST_TEST(!asker_knowledge(fleet_state_target({12, false, 345})).replicas_known);
}

BOOST_AUTO_TEST_CASE(request_with_missing_or_malformed_numbers_gets_the_full_state) {
  for (const char* target :
       {"/dockpoint/state", "/dockpoint/state?version=x", "/dockpoint/state?"}) {
    FleetState state = whole_state();
    leave_out_known(state, asker_knowledge(target));
    BOOST_TEST(state.configuration == "routes");
    BOOST_TEST(state.replicas.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(newer_configuration_is_sent_without_known_replicas) {
  FleetState state = whole_state();
  leave_out_known(state, {6, true, 40});
  BOOST_TEST(state.configuration == "routes");
  BOOST_TEST(!state.replicas_known);
  BOOST_TEST(state.replicas.empty());
  BOOST_TEST(state.owners.size() == 1U);
}

BOOST_AUTO_TEST_CASE(replicas_at_a_later_position_are_sent_in_full) {
  FleetState state = whole_state();
  leave_out_known(state, {7, true, 39});
  BOOST_TEST(state.configuration.empty());
  BOOST_TEST(state.replicas_known);
  BOOST_TEST(state.replicas.size() == 2U);
}

// During a rolling upgrade a node may receive the state of the previous build, which lacks the
// operator's position and the evacuated zones.
BOOST_AUTO_TEST_CASE(state_of_the_previous_build_is_decoded_without_evacuations) {
  // [7, "routes", true, 40, [["r1", "a"]], [[0, "10.0.0.1:80"]]] in MessagePack.
  const std::string recorded =
      "\x96\x07\xa6routes\xc3\x28\x91\x92\xa2r1\xa1"
      "a\x91\x92" +
      std::string(1, '\0') +
      "\xab"
      "10.0.0.1:80";
  const auto state = unpack<FleetState>(recorded);
  BOOST_TEST_REQUIRE(state.has_value());
  BOOST_TEST(state->version == 7U);
  BOOST_TEST(state->replicas.size() == 1U);
  BOOST_TEST(state->owners.at(0) == "10.0.0.1:80");
  BOOST_TEST(state->operator_position == 0U);
  BOOST_TEST(state->evacuated_zones.empty());
}

BOOST_AUTO_TEST_SUITE_END()
