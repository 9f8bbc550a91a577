#include "dockpoint/batch/item_audit.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

constexpr std::size_t kRecordBytes = 2'048;

/// @return a ledger with jobs of three items each.
JobLedger ledger_with(const std::vector<std::string>& jobs) {
  JobLedger ledger;
  for (const std::string& id : jobs) {
    BatchJob job{id, "a.example", "/batch/", 1'000, {}};
    for (const char* item : {"0", "1", "2"}) {
      job.items.push_back({id + item, "/batch/1", {}, "body"});
    }
    for (const KeyedRecord& record : job_records(job, kRecordBytes)) {
      ledger.apply_job_record(record);
    }
  }
  return ledger;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(item_audit)

// Guards against accepted items that nothing works on and that are never listed.
BOOST_AUTO_TEST_CASE(an_open_item_that_nothing_works_on_is_found) {
  const JobLedger ledger = ledger_with({"j1", "j2"});
  const std::set<ItemKey> scheduled{{"j1", 0}, {"j1", 2}, {"j2", 0}, {"j2", 1}, {"j2", 2}};
  const ItemAudit audit = audit_items(ledger, scheduled);
  BOOST_TEST(audit.open == 6U);
  BOOST_TEST((audit.unscheduled == std::vector<ItemKey>{{"j1", 1}}));
}

BOOST_AUTO_TEST_CASE(items_with_a_result_and_items_of_ended_jobs_are_not_owed) {
  JobLedger ledger = ledger_with({"j1", "j2"});
  ledger.add_result("j1", {1, true, "text"});
  ledger.apply_job_record(end_record("j2"));
  const ItemAudit audit = audit_items(ledger, {});
  BOOST_TEST(audit.open == 2U);
  BOOST_TEST((audit.unscheduled == std::vector<ItemKey>{{"j1", 0}, {"j1", 2}}));
}

BOOST_AUTO_TEST_SUITE_END()
