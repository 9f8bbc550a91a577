#include "dockpoint/routing/version_records.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = TimePoint{} + 1000s;
const ServedVersion kFirst{"lm", "v1"};
const ServedVersion kSecond{"lm", "v2"};

VersionRecords records_of(bool keeper) {
  return VersionRecords([keeper](const ServedVersion&) { return keeper; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(version_records)

BOOST_AUTO_TEST_CASE(a_version_is_recorded_shortly_after_it_appears_and_only_once) {
  VersionRecords records = records_of(true);
  BOOST_TEST(records.due({kFirst}, false, kNow).empty());
  const auto changes = records.due({kFirst}, false, kNow + 2s);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes.front().version == kFirst));
  BOOST_TEST(!changes.front().removed);
  // Repeated until the log has confirmed it.
  BOOST_TEST(records.due({kFirst}, false, kNow + 3s).size() == 1U);
  records.confirmed(changes.front());
  BOOST_TEST(records.due({kFirst}, false, kNow + 4s).empty());
}

BOOST_AUTO_TEST_CASE(a_record_is_removed_when_the_version_is_no_longer_known) {
  VersionRecords records = records_of(true);
  records.recorded(kFirst);
  records.recorded(kSecond);
  BOOST_TEST(records.due({kFirst, kSecond}, false, kNow).empty());
  const auto changes = records.due({kSecond}, false, kNow);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes.front().version == kFirst));
  BOOST_TEST(changes.front().removed);
  records.confirmed(changes.front());
  BOOST_TEST(records.due({kSecond}, false, kNow).empty());
}

BOOST_AUTO_TEST_CASE(nodes_that_do_not_keep_a_version_write_nothing) {
  VersionRecords records = records_of(false);
  records.recorded(kSecond);
  BOOST_TEST(records.due({kFirst}, false, kNow).empty());
  BOOST_TEST(records.due({kFirst}, false, kNow + 10s).empty());
}

// Replicas of the version may serve unseen.
BOOST_AUTO_TEST_CASE(a_record_stays_while_the_node_sees_only_a_part_of_the_replicas) {
  VersionRecords records = records_of(true);
  records.recorded(kFirst);
  BOOST_TEST(records.due({kSecond}, true, kNow).empty());
  BOOST_TEST(records.due({kSecond}, false, kNow).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
