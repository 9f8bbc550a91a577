#include "dockpoint/config/tenant_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

Tenant tenant(std::string name, std::vector<std::string> keys) {
  return {std::move(name), 0, {}, std::move(keys)};
}

std::string problem_of(std::vector<Tenant> tenants) {
  std::string problem;
  value_or_problem([&] { return TenantDirectory::build(std::move(tenants)); }, problem);
  return problem;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tenant_directory)

BOOST_AUTO_TEST_CASE(keys_are_compared_byte_by_byte) {
  const TenantDirectory directory =
      TenantDirectory::build({tenant("clinic", {"k1", "k2"}), tenant("shop", {"k3"})}).value();
  BOOST_TEST(directory.enabled());
  BOOST_TEST_REQUIRE(directory.find_by_key("k2") != nullptr);
  BOOST_TEST(directory.find_by_key("k2")->name == "clinic");
  BOOST_TEST(directory.find_by_key("k3")->name == "shop");
  for (const char* wrong : {"", "K1", " k1", "k1 ", "k", "k11"}) {
    BOOST_TEST(directory.find_by_key(wrong) == nullptr);
  }
  BOOST_TEST(directory.find_by_key(std::string(100'000, 'k')) == nullptr);
}

BOOST_AUTO_TEST_CASE(errors_name_the_place_and_never_the_key) {
  BOOST_TEST(
      problem_of({tenant("a", {"secret"}), tenant("b", {"secret"})}).starts_with("tenants[1]"));
  BOOST_TEST(problem_of({tenant("a", {"secret"}), tenant("b", {"secret"})}).find("secret") ==
             std::string::npos);
  BOOST_TEST(problem_of({tenant("a", {"secret", "secret"})}).starts_with("tenants[0]"));
  BOOST_TEST(problem_of({tenant("a", {""})}).starts_with("tenants[0]"));
  BOOST_TEST(problem_of({tenant("a", {}), tenant("a", {})}).starts_with("tenants[1].name"));
  BOOST_TEST(problem_of({tenant("", {"k"})}).starts_with("tenants[0].name"));
}

BOOST_AUTO_TEST_CASE(keys_are_required_if_a_tenant_list_exists_even_an_empty_one) {
  BOOST_TEST(!TenantDirectory().enabled());
  BOOST_TEST(TenantDirectory::build({}).value().enabled());
}

BOOST_AUTO_TEST_SUITE_END()
