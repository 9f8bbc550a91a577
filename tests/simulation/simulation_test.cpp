#include <boost/test/unit_test.hpp>

#include "simulation/explorer.hpp"
#include "simulation/scenario_runner.hpp"

using namespace dockpoint;
using namespace dockpoint::simulation;

namespace {

std::string error_in(const std::string& text) {
  const std::optional<Error> error = error_of([&] { return parse_scenario("s", text); });
  return error ? error->message : std::string{};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation)

BOOST_AUTO_TEST_CASE(same_seed_gives_identical_history) {
  for (const std::uint64_t seed : {3, 14, 15}) {
    const Scenario scenario = draw_scenario(seed);
    const RunReport first = run_scenario(scenario, {{}, true});
    const RunReport second = run_scenario(scenario, {{}, true});
    BOOST_TEST(first.digest == second.digest);
    BOOST_TEST((first.lines == second.lines));
    BOOST_TEST(first.lines.size() > 100U);
  }
}

BOOST_AUTO_TEST_CASE(serialized_scenario_replays_identically) {
  const Scenario drawn = draw_scenario(92);
  std::optional<Scenario> read;
  error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(read, parse_scenario("s", to_text(drawn)));
    return {};
  });
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(run_scenario(drawn, {}).digest == run_scenario(*read, {}).digest);
}

BOOST_AUTO_TEST_CASE(errors_name_line_and_argument) {
  BOOST_TEST(error_in("{\"verb\":\"deploy\"}\n\n{\"verb\":\"fly\"}").starts_with("s:3: verb"));
  BOOST_TEST(error_in("{\"verb\":\"kill\"}").starts_with("s:1: target is required"));
  BOOST_TEST(error_in("{\"verb\":\"kill\",\"target\":\"a\",\"when\":1}").starts_with("s:1: when"));
  BOOST_TEST(error_in("{\"verb\":\"submit\",\"job\":\"a\",\"items\":0}").starts_with("s:1: items"));
  BOOST_TEST(error_in("{\"verb\":\"fault\",\"kind\":\"rain\"}").starts_with("s:1: kind"));
  BOOST_TEST(error_in("kill node-1").starts_with("s:1: not valid JSON"));
  BOOST_TEST(error_in("// a remark\n{\"verb\":\"heal\",\"at_ms\":5}").empty());
}

BOOST_AUTO_TEST_SUITE_END()
