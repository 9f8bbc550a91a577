#include "dockpoint/core/json_reader.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

ResultCode code_of(const std::string& text) {
  const std::optional<Error> error = error_of([&] { return parse_json_object(text); });
  return error ? error->code : ResultCode::kOk;
}

Problems problems_of(const std::string& text) {
  Problems problems;
  error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(object, parse_json_object(text));
    ObjectReader reader(object, "", problems);
    reader.required_text("name");
    reader.integer("count", {1, 10}, 1);
    reader.choice("mode", {"a", "b"}, "a");
    reader.object("nested").boolean("on", false);
    reader.reject_unknown_keys();
    return {};
  });
  return problems;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(json_reader)

BOOST_AUTO_TEST_CASE(accepts_a_plain_object) {
  BOOST_TEST((code_of(R"({"a":[1,2,{"b":"\u00e4"}]})") == ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(rejects_values_other_than_objects) {
  for (const std::string text :
       {"", "[]", "1", "{", "{\"a\":}", "{\"a\":1} x", "nul", "{\"a\":99999999999999999999}"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST((code_of(text) == ResultCode::kMalformedBody));
    }
  }
}

BOOST_AUTO_TEST_CASE(rejects_deep_nesting) {
  const std::string deep = "{\"a\":" + std::string(200, '[') + std::string(200, ']') + "}";
  BOOST_TEST((code_of(deep) == ResultCode::kMalformedBody));
}

BOOST_AUTO_TEST_CASE(rejects_invalid_utf8) {
  BOOST_TEST((code_of("{\"a\":\"\xff\xfe\"}") == ResultCode::kMalformedBody));
  BOOST_TEST((code_of("{\"a\":\"\xc3\"}") == ResultCode::kMalformedBody));
}

BOOST_AUTO_TEST_CASE(names_the_place_of_every_problem) {
  const Problems problems =
      problems_of(R"({"count":11,"mode":"c","nested":{"on":"yes"},"extra":1})");
  BOOST_TEST_REQUIRE(problems.size() == 5U);
  BOOST_TEST(problems[0].place == "name");
  BOOST_TEST(problems[1].place == "count");
  BOOST_TEST(problems[1].message.find("from 1 to 10") != std::string::npos);
  BOOST_TEST(problems[2].place == "mode");
  BOOST_TEST(problems[3].place == "nested.on");
  BOOST_TEST(problems[4].place == "extra");
}

BOOST_AUTO_TEST_CASE(rejects_numbers_of_the_wrong_type) {
  for (const std::string value : {"1.5", "true", "\"3\"", "9223372036854775807", "[1]"}) {
    BOOST_TEST_CONTEXT(value) {
      const Problems problems = problems_of(R"({"name":"x","count":)" + value + "}");
      BOOST_TEST_REQUIRE(problems.size() == 1U);
      BOOST_TEST(problems[0].place == "count");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
