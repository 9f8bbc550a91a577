#include "dockpoint/config/fleet_config.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "support/fleet.hpp"

using namespace dockpoint;

namespace {

std::optional<Error> error_in(const std::string& document) {
  return error_of([&] { return parse_fleet_config(document); });
}

/// Replaces the first occurrence of `from` in a valid document.
std::string altered(const std::string& from, const std::string& to) {
  std::string document = test::fleet_document(2, 4);
  const std::size_t place = document.find(from);
  BOOST_REQUIRE(place != std::string::npos);
  return document.replace(place, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_config)

BOOST_AUTO_TEST_CASE(accepts_the_checked_in_deployments) {
  for (const std::string name : {"relay", "vending"}) {
    BOOST_TEST_CONTEXT(name) {
      std::ifstream file(std::string(DOCKPOINT_SOURCE_DIR) + "/deployments/" + name + ".json");
      std::ostringstream text;
      text << file.rdbuf();
      const std::optional<Error> error = error_in(text.str());
      BOOST_TEST(!error, (error ? error->message : ""));
    }
  }
}

BOOST_AUTO_TEST_CASE(names_the_place_of_a_fault) {
  const std::vector<std::pair<std::string, std::string>> faults{
      {altered("\"slots\":4", "\"slots\":0"), "engines[0].slots"},
      {altered("\"slots\":4", "\"slots\":\"4\""), "engines[0].slots"},
      {altered("\"slots\":4", "\"slot\":4"), "engines[0].slots"},
      {altered("\"name\":\"engine-2\"", "\"name\":\"engine-1\""), "engines[1].name"},
      {altered("127.0.0.1:9002", "127.0.0.1:9001"), "engines[engine-2].address"},
      {altered("127.0.0.1:9001", "localhost"), "engines[engine-1].address"},
      {altered("\"selector\":{}", "\"selector\":{\"zone\":[]}"), "services[0].selector.zone"},
      {altered("\"selector\":{}", "\"selector\":{\"zone\":\"mars\"}"), "services[lm].selector"},
      {altered("\"partitions\":4", "\"partitions\":0"), "partitions"},
      {altered("\"partitions\":4", "\"partitons\":4"), "partitons"},
  };
  for (const auto& [document, place] : faults) {
    BOOST_TEST_CONTEXT(document) {
      const std::optional<Error> error = error_in(document);
      BOOST_TEST_REQUIRE(error.has_value());
      BOOST_TEST(error->place == place);
      BOOST_TEST((error->code == ResultCode::kConfigurationInvalid));
    }
  }
}

BOOST_AUTO_TEST_CASE(selectors_match_values_and_ranges) {
  const Labels labels{{"zone", "a"}, {"memory_gb", "80"}};
  const auto matches = [&](const std::string& text) {
    Problems problems;
    bool result = false;
    error_of([&]() -> Result<void> {
      BOOST_LEAF_AUTO(object, parse_json_object(text));
      result = Selector::read(ObjectReader(object, "", problems)).matches(labels);
      return {};
    });
    BOOST_TEST(problems.empty());
    return result;
  };
  BOOST_TEST(matches("{}"));
  BOOST_TEST(matches(R"({"zone":"a"})"));
  BOOST_TEST(matches(R"({"zone":["b","a"],"memory_gb":{"min":80}})"));
  BOOST_TEST(!matches(R"({"zone":"b"})"));
  BOOST_TEST(!matches(R"({"memory_gb":{"max":79}})"));
  BOOST_TEST(!matches(R"({"zone":{"min":1}})"));
  BOOST_TEST(!matches(R"({"rack":"1"})"));
}

BOOST_AUTO_TEST_SUITE_END()
