#include "dockpoint/admission/crash_attribution.hpp"

#include <boost/test/unit_test.hpp>
#include <initializer_list>

using namespace dockpoint;

namespace {

constexpr RequestFingerprint kFirstRequest{0, 1};
constexpr RequestFingerprint kSecondRequest{0, 2};
constexpr RequestFingerprint kCommonPart{1, 1};
constexpr RequestFingerprint kRarePart{1, 2};

struct Fixture {
  Knobs knobs;
  std::map<RequestFingerprint, Suspect> suspects;

  Suspect& crash(const RequestFingerprint& suspect, std::initializer_list<std::uint64_t> replicas) {
    for (const std::uint64_t replica : replicas) {
      suspects[suspect].crashes[replica] = TimePoint(std::chrono::seconds(replica));
    }
    return suspects[suspect];
  }
  Suspect& crash_part(const RequestFingerprint& part,
                      std::initializer_list<std::uint64_t> replicas) {
    crash(part, replicas).prompt_part = true;
    return suspects[part];
  }
  std::size_t unexplained(const RequestFingerprint& suspect) {
    attribute_crashes(suspects, knobs);
    return suspects[suspect].crashes.size() - suspects[suspect].explained.size();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_attribution, Fixture)

BOOST_AUTO_TEST_CASE(crashes_of_one_request_do_not_count_against_its_parts) {
  crash(kFirstRequest, {1, 2, 3, 4});
  crash_part(kRarePart, {1, 2, 3, 4});
  BOOST_TEST(unexplained(kRarePart) == 0U);
}

// Regression: each request was sent to three replicas, which ended, and so explained its own
// crashes; the part that all of them shared was never quarantined.
BOOST_AUTO_TEST_CASE(crashes_of_several_requests_count_against_their_common_part) {
  crash(kFirstRequest, {1, 2, 3});
  crash(kSecondRequest, {4, 5, 6});
  crash_part(kRarePart, {1, 2, 3, 4, 5, 6});
  BOOST_TEST(unexplained(kRarePart) == 3U);
}

BOOST_AUTO_TEST_CASE(a_part_that_never_ran_well_explains_the_crashes_of_a_common_one) {
  crash_part(kRarePart, {1, 2, 3});
  crash_part(kCommonPart, {1, 2, 3, 4}).ran_well_before = true;
  BOOST_TEST(unexplained(kCommonPart) == 1U);
  BOOST_TEST(unexplained(kRarePart) == 3U);
}

BOOST_AUTO_TEST_CASE(parts_at_the_same_crashes_are_marked_as_shared) {
  crash_part(kRarePart, {1, 2, 3, 4});
  crash_part(kCommonPart, {1, 2, 3});
  attribute_crashes(suspects, knobs);
  BOOST_TEST(suspects[kCommonPart].shared.size() == 3U);
  BOOST_TEST(suspects[kRarePart].shared.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
