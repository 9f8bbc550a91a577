#include "dockpoint/routing/outlier_detection.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

long count(const std::vector<bool>& outliers) {
  return std::count(outliers.begin(), outliers.end(), true);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(outlier_detection)

BOOST_AUTO_TEST_CASE(a_replica_that_fails_far_more_than_the_others_is_an_outlier) {
  const Knobs knobs;
  const std::vector<double> failures{0, 0.3, 5, 0, 0, 0.2, 0, 0};
  const std::vector<bool> outliers = find_outliers(failures, knobs);
  BOOST_TEST(outliers[2]);
  BOOST_TEST(count(outliers) == 1);
}

BOOST_AUTO_TEST_CASE(few_failures_do_not_make_an_outlier) {
  const Knobs knobs;
  const std::vector<double> failures{0, 0, 1.5, 0, 0, 0, 0, 0};
  BOOST_TEST(count(find_outliers(failures, knobs)) == 0);
}

BOOST_AUTO_TEST_CASE(no_replica_is_an_outlier_if_all_fail_alike) {
  const Knobs knobs;
  const std::vector<double> failures{9, 8, 12, 7, 10, 9, 11, 8};
  BOOST_TEST(count(find_outliers(failures, knobs)) == 0);
}

BOOST_AUTO_TEST_CASE(a_large_share_of_outliers_is_ignored) {
  const Knobs knobs;
  const std::vector<double> failures{20, 20, 20, 0, 0, 0};
  BOOST_TEST(count(find_outliers(failures, knobs)) == 0);
  BOOST_TEST(count(find_outliers(std::vector<double>{7}, knobs)) == 0);
  BOOST_TEST(find_outliers({}, knobs).empty());
}

BOOST_AUTO_TEST_SUITE_END()
