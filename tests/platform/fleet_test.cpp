#include "platform/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "platform/replica_records.hpp"

using namespace dockpoint;
using dockpoint::test::replica_record;
using nlohmann::json;

namespace {

json configuration_document() {
  return json::parse(R"({"version":7,
    "routeList":[{"name":"r","host":"a.example","pathPrefix":"/x/","type":"streaming",
                  "service":"lm","public":false},
                 {"name":"p","host":"a.example","pathPrefix":"/p/","type":"idempotent",
                  "service":"lm","public":true}],
    "services":[{"name":"lm"}],
    "tenants":[{"name":"clinic","apiKeys":["key-one","key-two"],"priority":1,"ratePerS":20.5,
                "burst":40},
               {"name":"shop","apiKeys":["key-three"]}]})");
}

const platform::PlatformFleet kReader;

std::optional<ReplicaRecord> read(const std::string& value) {
  std::string problem;
  return value_or_problem([&] { return kReader.read_replica("r1", value); }, problem);
}

std::optional<RoutingConfiguration> configuration(const json& document,
                                                  std::string* problem = nullptr) {
  std::string ignored;
  return value_or_problem([&] { return kReader.read_configuration(document.dump()); },
                          problem == nullptr ? ignored : *problem);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_fleet)

BOOST_AUTO_TEST_CASE(a_record_identifies_a_replica_and_its_incarnation) {
  json entry = replica_record();
  const auto record = read(entry.dump());
  BOOST_TEST_REQUIRE(record.has_value());
  BOOST_TEST(record->id == "r1");
  BOOST_TEST(record->slots == 4);
  BOOST_TEST(!record->draining);
  entry["born"] = 1'765'000'000'000;
  const auto reborn = read(entry.dump());
  BOOST_TEST(reborn->registered_name() == "r1");
  BOOST_TEST(reborn->id != "r1");
  BOOST_TEST(reborn->started_ms == 1'765'000'000'000);
  entry["state"] = "draining";
  BOOST_TEST(read(entry.dump())->draining);
}

BOOST_AUTO_TEST_CASE(a_record_without_a_required_member_is_rejected) {
  for (const char* key :
       {"service", "address", "zone", "version", "slots", "state", "sequence", "coldRemainingMs"}) {
    json entry = replica_record();
    entry.erase(key);
    BOOST_TEST(!read(entry.dump()).has_value(), key);
  }
}

BOOST_AUTO_TEST_CASE(a_record_with_an_invalid_type_or_range_is_rejected) {
  const std::vector<std::pair<const char*, json>> wrong{
      {"service", 7},          {"service", ""},
      {"address", "lm:80"},    {"address", "10.0.0.1"},
      {"address", nullptr},    {"zone", json::array()},
      {"version", 1},          {"slots", "6"},
      {"slots", 6.5},          {"slots", 0},
      {"slots", -1},           {"slots", 1e30},
      {"state", "warm"},       {"state", true},
      {"sequence", "4"},       {"sequence", -1},
      {"coldRemainingMs", ""}, {"coldRemainingMs", -1},
      {"born", "1765"},        {"born", 1.5},
      {"born", nullptr},       {"born", 18'000'000'000'000'000'000U}};
  for (const auto& [key, value] : wrong) {
    json entry = replica_record();
    entry[key] = value;
    BOOST_TEST(!read(entry.dump()).has_value(), entry.dump());
  }
  for (const char* text : {"", "null", "[]", "\"ready\"", "7", "{", "\xff\xfe", "{}"}) {
    BOOST_TEST(!read(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(damaged_records_and_configurations_do_not_crash_the_reader) {
  const std::string record = replica_record().dump();
  const std::string document = configuration_document().dump();
  std::mt19937_64 random(7);
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = round % 2 == 0 ? record : document;
    for (int change = 0; change < 4; ++change) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    read(damaged);
    std::string problem;
    value_or_problem([&] { return kReader.read_configuration(damaged); }, problem);
    BOOST_REQUIRE(problem.find("key-") == std::string::npos);
  }
  constexpr std::size_t kDeep = 200'000;
  read(std::string(kDeep, '['));
  read(std::string(kDeep, '[') + std::string(kDeep, ']'));
}

BOOST_AUTO_TEST_CASE(tenants_are_read_with_keys_priority_and_rate_limit) {
  const auto read_back = configuration(configuration_document());
  BOOST_TEST_REQUIRE(read_back.has_value());
  const Tenant* clinic = read_back->tenants.find_by_key("key-two");
  BOOST_TEST_REQUIRE(clinic != nullptr);
  BOOST_TEST(clinic->name == "clinic");
  BOOST_TEST(clinic->priority == 1);
  BOOST_TEST(clinic->rate.per_second == 20.5);
  BOOST_TEST(clinic->rate.burst == 40);
  BOOST_TEST(!read_back->tenants.find_by_key("key-three")->rate.limited());
  BOOST_TEST(read_back->routes[0].needs_key);
  BOOST_TEST(!read_back->routes[1].needs_key);
  json without = configuration_document();
  without.erase("tenants");
  BOOST_TEST(!configuration(without)->tenants.enabled());
}

BOOST_AUTO_TEST_CASE(a_configuration_with_an_invalid_tenant_is_rejected) {
  const std::vector<std::pair<const char*, json>> wrong{{"name", 7},
                                                        {"apiKeys", "key-one"},
                                                        {"apiKeys", json::array({7})},
                                                        {"ratePerS", "fast"},
                                                        {"ratePerS", -1},
                                                        {"burst", json::object()},
                                                        {"priority", "high"},
                                                        {"apiKeys", json::array({"key-three"})}};
  for (const auto& [key, value] : wrong) {
    json document = configuration_document();
    document["tenants"][0][key] = value;
    std::string problem;
    BOOST_TEST(!configuration(document, &problem).has_value(), key);
    BOOST_TEST(problem.find("key-") == std::string::npos, problem);
  }
  json document = configuration_document();
  document["tenants"] = 7;
  BOOST_TEST(!configuration(document).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
