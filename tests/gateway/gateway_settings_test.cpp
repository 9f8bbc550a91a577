#include "gateway/gateway_settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

const char* const kCompleteSettings =
    R"({"node":"n","zone":"z","region":"r","seeds":["10.0.0.1:80"],
 "listen":{"frontend":"10.0.0.2:1","readiness":"10.0.0.2:2","resolver":"10.0.0.2:3",
  "control":"10.0.0.2:4","datagrams":"10.0.0.2:5","metrics":"10.0.0.2:6"},
 "log":{"address":"10.0.0.3:1","partitions":12,"record_bytes":262144,"call_bytes":2097152,
  "minimum_lease_ms":1000},
 "times":{"address_lifetime_s":5,"grace_s":7.5}})";

/// @return the error message for `kCompleteSettings` after one replacement, empty if it is valid.
std::string problem_after_replacing(const std::string& from, const std::string& to) {
  std::string text = kCompleteSettings;
  text.replace(text.find(from), from.size(), to);
  const auto error = error_of([&] { return parse_gateway_settings(text); });
  return error ? error->message : std::string();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_settings)

BOOST_AUTO_TEST_CASE(complete_settings_are_parsed) {
  const auto settings = boost::leaf::try_handle_all(
      [] { return parse_gateway_settings(kCompleteSettings); }, [] { return GatewaySettings{}; });
  BOOST_TEST(settings.node == "n");
  BOOST_TEST(settings.log.partitions == 12);
  BOOST_TEST((settings.grace == std::chrono::milliseconds(7500)));
  BOOST_TEST(settings.seeds.size() == 1U);
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_rejected_with_their_path) {
  BOOST_TEST(problem_after_replacing("\"node\":\"n\",", "").find("node") != std::string::npos);
  BOOST_TEST(problem_after_replacing("10.0.0.2:1\"", "host:1\"").find("listen.frontend") !=
             std::string::npos);
  BOOST_TEST(problem_after_replacing("10.0.0.1:80", "10.0.0.1").find("seeds") != std::string::npos);
  BOOST_TEST(
      problem_after_replacing("\"partitions\":12", "\"partitions\":0").find("log.partitions") !=
      std::string::npos);
  BOOST_TEST(
      problem_after_replacing("\"grace_s\":7.5", "\"grace_s\":\"x\"").find("times.grace_s") !=
      std::string::npos);
  BOOST_TEST(problem_after_replacing("\"grace_s\":7.5", "\"drain_known_ms\":499")
                 .find("times.drain_known_ms") != std::string::npos);
  BOOST_TEST(problem_after_replacing("\"zone\"", "\"zome\"").find("zome") != std::string::npos);
  BOOST_TEST(!problem_after_replacing("{\"node\"", "[\"node\"").empty());
}

BOOST_AUTO_TEST_CASE(freshness_bound_is_the_minimum_of_both_settings) {
  std::string text = kCompleteSettings;
  const std::string times = "\"times\":{";
  text.insert(text.find(times) + times.size(),
              R"("configuration_in_force_ms":15000,"drain_known_ms":1500,)");
  const auto settings = boost::leaf::try_handle_all([&] { return parse_gateway_settings(text); },
                                                    [] { return GatewaySettings{}; });
  BOOST_TEST((settings.knobs.freshness_bound == std::chrono::milliseconds(1'500)));
}

BOOST_AUTO_TEST_CASE(client_limits_follow_from_the_machine_unless_they_are_set) {
  constexpr std::uint64_t kMegabyte = 1024 * 1024;
  const auto limits_with = [](const std::string& sections) {
    std::string text = kCompleteSettings;
    text.insert(1, sections);
    const auto settings = boost::leaf::try_handle_all([&] { return parse_gateway_settings(text); },
                                                      [] { return GatewaySettings{}; });
    return settings.client_limits;
  };
  BOOST_TEST(limits_with("").buffer_bytes == 64 * kMegabyte);
  BOOST_TEST(limits_with("").connections == 0U);
  const std::string machine = R"("machine":{"memory_mb":120,"descriptors":8200},)";
  BOOST_TEST(limits_with(machine).buffer_bytes == 30 * kMegabyte);
  BOOST_TEST(limits_with(machine).connections == 6'150U);
  BOOST_TEST(limits_with(R"("machine":{"memory_mb":4000},)").buffer_bytes == 64 * kMegabyte);
  const ClientLimits set =
      limits_with(machine + R"("clients":{"buffer_bytes":8388608,"connections":100},)");
  BOOST_TEST(set.buffer_bytes == 8 * kMegabyte);
  BOOST_TEST(set.connections == 100U);
  BOOST_TEST(problem_after_replacing("{\"node\"", "{\"clients\":{\"buffer_bytes\":9},\"node\"")
                 .find("clients.buffer_bytes") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(experiment_overrides_knobs_by_name) {
  std::string text = kCompleteSettings;
  text.insert(1, R"("experiment":{"batch_slot_share":0.25,"batch_start_delay":90},)");
  const auto settings = boost::leaf::try_handle_all([&] { return parse_gateway_settings(text); },
                                                    [] { return GatewaySettings{}; });
  BOOST_TEST(settings.knobs.batch_slot_share == 0.25);
  BOOST_TEST((settings.knobs.batch_start_delay == std::chrono::milliseconds(90)));
  BOOST_TEST(problem_after_replacing("{\"node\"", "{\"experiment\":{\"no_knob\":1},\"node\"")
                 .find("experiment.no_knob") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(tenant_settings_are_parsed_and_validated) {
  std::string text = kCompleteSettings;
  text.insert(text.rfind('}'), R"(,"tenants":{"strict_revocation":true,"revocation_ms":4000,
    "rate_window_s":2.5,"rate_overage":0.1,"rate_slack":20})");
  const auto settings = boost::leaf::try_handle_all([&] { return parse_gateway_settings(text); },
                                                    [] { return GatewaySettings{}; });
  BOOST_TEST(settings.revocation.strict);
  BOOST_TEST((settings.revocation.bound == std::chrono::seconds(4)));
  BOOST_TEST((settings.rate_window.length == std::chrono::milliseconds(2'500)));
  BOOST_TEST(settings.rate_window.overage == 0.1);
  BOOST_TEST(settings.rate_window.slack == 20);
  const auto problem = [](const std::string& member) {
    return problem_after_replacing("\"times\":{", "\"tenants\":{" + member + "},\"times\":{");
  };
  BOOST_TEST(problem(R"("strict_revocation":"yes")").find("tenants.strict_revocation") !=
             std::string::npos);
  BOOST_TEST(problem(R"("revocation_ms":0)").find("tenants.revocation_ms") != std::string::npos);
  BOOST_TEST(problem(R"("rate_slack":-1)").find("tenants.rate_slack") != std::string::npos);
  BOOST_TEST(problem(R"("rate":1)").find("tenants.rate") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
