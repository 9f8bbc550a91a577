#include "dockpoint/admission/caller_identity.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr ConfigurationFreshness kFollowing{true, 100ms};
constexpr ConfigurationFreshness kCutOff{false, 9s};

struct Fixture {
  TenantDirectory tenants = TenantDirectory::build({{"clinic", 0, {}, {"key"}}}).value();
  RevocationPolicy policy;

  CallerIdentity identify(const Credential& credential, const ConfigurationFreshness& freshness,
                          bool key_required = true) const {
    return identify_caller(tenants, key_required, credential, freshness, policy);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_identity, Fixture)

BOOST_AUTO_TEST_CASE(a_known_key_identifies_its_tenant) {
  const CallerIdentity caller = identify({1, "key"}, kFollowing);
  BOOST_TEST((caller.verdict == CallerVerdict::kTenant));
  BOOST_TEST(caller.tenant->name == "clinic");
}

BOOST_AUTO_TEST_CASE(public_routes_and_fleets_without_tenants_require_no_key) {
  BOOST_TEST((identify({0, ""}, kFollowing, false).verdict == CallerVerdict::kNoTenant));
  BOOST_TEST((identify({2, "x"}, kFollowing, false).verdict == CallerVerdict::kNoTenant));
  tenants = {};
  BOOST_TEST((identify({0, ""}, kFollowing).verdict == CallerVerdict::kNoTenant));
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_refused_only_if_the_configuration_is_current) {
  BOOST_TEST((identify({1, "other"}, kFollowing).verdict == CallerVerdict::kUnknownKey));
  BOOST_TEST((identify({1, "other"}, kCutOff).verdict == CallerVerdict::kUnsure));
  // A missing key is refused under any version of the configuration.
  BOOST_TEST((identify({0, ""}, kCutOff).verdict == CallerVerdict::kUnknownKey));
  BOOST_TEST((identify({1, ""}, kCutOff).verdict == CallerVerdict::kUnknownKey));
}

BOOST_AUTO_TEST_CASE(several_keys_are_malformed) {
  BOOST_TEST((identify({2, "key"}, kFollowing).verdict == CallerVerdict::kMalformed));
}

BOOST_AUTO_TEST_CASE(a_node_cut_off_from_the_log_accepts_known_keys_unless_revocation_is_strict) {
  BOOST_TEST((identify({1, "key"}, kCutOff).verdict == CallerVerdict::kTenant));
  policy = {true, 5s};
  BOOST_TEST((identify({1, "key"}, kCutOff).verdict == CallerVerdict::kUnsure));
  BOOST_TEST((identify({1, "key"}, {false, 4s}).verdict == CallerVerdict::kTenant));
}

BOOST_AUTO_TEST_SUITE_END()
