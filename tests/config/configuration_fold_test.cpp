#include "dockpoint/config/configuration_fold.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;

namespace {

ConfigurationChange change(const std::string& id, std::uint64_t base, int engines = 1) {
  return {id, base, "author-" + id, test::fleet_document(engines, 4)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_fold)

BOOST_AUTO_TEST_CASE(first_of_two_racing_changes_wins) {
  ConfigurationFold fold;
  BOOST_TEST((fold.apply(0, change("a", 0)).verdict == ChangeVerdict::kAccepted));
  const ChangeOutcome loser = fold.apply(1, change("b", 0));
  BOOST_TEST((loser.verdict == ChangeVerdict::kConflict));
  BOOST_TEST(loser.detail.find("author-a") != std::string::npos);
  BOOST_TEST(fold.current().change_id == "a");
}

BOOST_AUTO_TEST_CASE(a_repeated_append_is_a_duplicate) {
  ConfigurationFold fold;
  fold.apply(0, change("a", 0));
  BOOST_TEST((fold.apply(1, change("a", 0)).verdict == ChangeVerdict::kDuplicate));
  BOOST_TEST(fold.current().revision == 1U);
}

BOOST_AUTO_TEST_CASE(an_invalid_change_is_rejected) {
  ConfigurationFold fold;
  ConfigurationChange broken = change("a", 0);
  broken.document = "{\"partitions\":-1}";
  BOOST_TEST((fold.apply(0, broken).verdict == ChangeVerdict::kInvalid));
  BOOST_TEST((fold.apply(1, change("b", 0)).verdict == ChangeVerdict::kAccepted));
}

BOOST_AUTO_TEST_CASE(partitions_cannot_change) {
  ConfigurationFold fold;
  fold.apply(0, change("a", 0));
  const ConfigurationChange other{"b", 1, "x", test::fleet_document(1, 4, 8)};
  BOOST_TEST((fold.apply(1, other).verdict == ChangeVerdict::kInvalid));
}

BOOST_AUTO_TEST_CASE(an_adopted_revision_never_reverts) {
  ConfigurationFold ahead;
  ahead.apply(0, change("a", 0));
  ahead.apply(1, change("b", 1, 2));
  ConfigurationFold behind;
  BOOST_TEST(behind.adopt(ahead.current()));
  BOOST_TEST(behind.current().revision == 2U);
  BOOST_TEST(behind.next_offset() == 2U);
  // The node reads the older records from the log after the adoption.
  behind.apply(0, change("a", 0));
  behind.apply(1, change("b", 1, 2));
  BOOST_TEST(behind.current().revision == 2U);
  BOOST_TEST((behind.apply(2, change("c", 2)).verdict == ChangeVerdict::kAccepted));
  BOOST_TEST(!behind.adopt(ahead.current()));
  BOOST_TEST(behind.current().revision == 3U);
}

BOOST_AUTO_TEST_CASE(an_adopted_revision_keeps_the_outcome_of_earlier_changes) {
  ConfigurationFold ahead;
  ahead.apply(0, change("a", 0));
  ahead.apply(1, change("winner", 1));
  ahead.apply(2, change("loser", 1));
  ahead.apply(3, change("c", 2));
  ConfigurationFold behind;
  behind.adopt(ahead.current());
  // The operator's node reads the skipped records and must report the outcome of each change.
  BOOST_TEST((behind.apply(1, change("winner", 1)).verdict == ChangeVerdict::kDuplicate));
  BOOST_TEST((behind.apply(2, change("loser", 1)).verdict == ChangeVerdict::kConflict));
}

BOOST_AUTO_TEST_SUITE_END()
