#include "dockpoint/batch/job_ledger.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace dockpoint;

namespace {

constexpr std::size_t kRecordBytes = 2'048;

BatchJob job(const std::string& id, std::size_t items, std::size_t body_bytes) {
  BatchJob result{id, "a.example", "/batch/", 1'000, {}};
  for (std::size_t index = 0; index < items; ++index) {
    BatchItem item;
    item.id = id + "-" + std::to_string(index);
    item.path = "/batch/" + std::to_string(index);
    item.headers = {{"Model", "m"}};
    item.body = std::string(body_bytes, static_cast<char>('a' + index));
    result.items.push_back(std::move(item));
  }
  return result;
}

std::vector<KeyedRecord> at_offset(std::vector<KeyedRecord> records, LogOffset first) {
  for (KeyedRecord& record : records) {
    record.offset = first++;
  }
  return records;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(job_ledger)

BOOST_AUTO_TEST_CASE(a_job_split_into_several_records_is_added_with_its_last_record) {
  const std::vector<KeyedRecord> records = job_records(job("j1", 3, 3'000), kRecordBytes);
  BOOST_TEST_REQUIRE(records.size() > 4U);
  JobLedger ledger;
  for (std::size_t index = 0; index + 1 < records.size(); ++index) {
    BOOST_TEST(records[index].key.size() + records[index].value.size() <= kRecordBytes);
    BOOST_TEST(!ledger.apply_job_record(records[index]).has_value());
  }
  BOOST_TEST((ledger.apply_job_record(records.back()) == "j1"));
  const BatchJob& read = ledger.find("j1")->job;
  BOOST_TEST(read.items.size() == 3U);
  BOOST_TEST(read.items[2].body == std::string(3'000, 'c'));
  BOOST_TEST(read.items[2].headers[0].second == "m");
  // A second copy of the same job is ignored.
  for (const KeyedRecord& record : records) {
    BOOST_TEST(!ledger.apply_job_record(record).has_value());
  }
}

BOOST_AUTO_TEST_CASE(result_positions_follow_log_offsets_regardless_of_loading_order) {
  std::vector<KeyedRecord> records;
  LogOffset offset = 0;
  for (const std::uint32_t item : {2U, 0U, 1U}) {
    const std::string text(item == 0 ? 5'000 : 10, 'x');
    for (const KeyedRecord& record :
         at_offset(result_records("j1", {item, true, text}, kRecordBytes), offset)) {
      records.push_back(record);
      ++offset;
    }
  }
  std::reverse(records.begin(), records.end());
  JobLedger ledger;
  ledger.load_results(records);
  for (const KeyedRecord& record : job_records(job("j1", 3, 10), kRecordBytes)) {
    ledger.apply_job_record(record);
  }
  const LedgerJob* loaded = ledger.find("j1");
  BOOST_TEST_REQUIRE(loaded->results.size() == 3U);
  BOOST_TEST(loaded->results[0].item == 2U);
  BOOST_TEST(loaded->results[1].item == 0U);
  BOOST_TEST(loaded->results[1].text.size() == 5'000U);
  BOOST_TEST(loaded->complete());
  ledger.add_result("j1", {2, false, "again"});
  BOOST_TEST(ledger.find("j1")->results.size() == 3U);
}

BOOST_AUTO_TEST_CASE(an_end_record_is_applied_whether_read_before_or_after_its_job) {
  const std::vector<KeyedRecord> records = job_records(job("j1", 1, 10), kRecordBytes);
  JobLedger before;
  before.apply_job_record(end_record("j1"));
  before.apply_job_record(records.front());
  BOOST_TEST(before.find("j1")->ended);
  JobLedger after;
  after.apply_job_record(records.front());
  BOOST_TEST((after.apply_job_record(end_record("j1")) == "j1"));
  BOOST_TEST(after.find("j1")->ended);
  after.apply_job_record({records.front().key, "", 9});
  BOOST_TEST(after.find("j1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_checkpoint_keeps_the_origin_of_its_text) {
  const StreamOrigin first{"lm", "v1"};
  const StreamOrigin second{"lm", "v2"};
  JobLedger ledger;
  ledger.load_results({checkpoint_record("j1", 0, {0, false, "", std::nullopt, 1, {}}),
                       checkpoint_record("j1", 0, {1, false, "a", 1, 1, first}),
                       checkpoint_record("j1", 0, {2, false, "\nb", 2, 1, first}),
                       checkpoint_record("j1", 1, {0, false, "a", 1, 0, first}),
                       checkpoint_record("j1", 1, {1, true, "x", 1, 0, second})});
  BOOST_TEST((ledger.checkpoint("j1", 0)->checkpoint.origin == first));
  BOOST_TEST((ledger.checkpoint("j1", 1)->checkpoint.origin == second));
}

BOOST_AUTO_TEST_CASE(a_checkpoint_that_an_older_build_wrote_or_continued_has_no_known_origin) {
  // A step as builds before the origin wrote it: restart, text, has_event, last_event, failures.
  const auto step_without_origin = [](std::uint32_t item, std::uint32_t number) {
    KeyedRecord record = checkpoint_record("j1", item, {number, false, {}, std::nullopt, 0, {}});
    const auto bytes = nlohmann::json::to_msgpack(nlohmann::json{false, "\nb", true, 2, 0});
    record.value.assign(bytes.begin(), bytes.end());
    return record;
  };
  JobLedger ledger;
  ledger.load_results({step_without_origin(0, 0),
                       checkpoint_record("j1", 1, {0, false, "a", 1, 0, {"lm", "v1"}}),
                       step_without_origin(1, 1)});
  for (const std::uint32_t item : {0U, 1U}) {
    BOOST_REQUIRE(ledger.checkpoint("j1", item) != nullptr);
    BOOST_TEST((ledger.checkpoint("j1", item)->checkpoint.last_event == 2U));
    BOOST_TEST(ledger.checkpoint("j1", item)->checkpoint.origin.unknown());
  }
}

// Guards against foreign bytes that a build which did not verify answers kept as an item's output.
BOOST_AUTO_TEST_CASE(a_checkpoint_from_unverified_answers_has_no_known_origin) {
  const StreamOrigin origin{"lm", "v1"};
  // A step as builds before the verification wrote it.
  const auto unverified = [](std::uint32_t item, std::uint32_t number) {
    KeyedRecord record = checkpoint_record("j1", item, {number, false, {}, std::nullopt, 0, {}});
    const auto bytes =
        nlohmann::json::to_msgpack(nlohmann::json{false, "\nb", true, 2, 0, "lm", "v1"});
    record.value.assign(bytes.begin(), bytes.end());
    return record;
  };
  JobLedger ledger;
  ledger.load_results({unverified(0, 0), checkpoint_record("j1", 0, {1, false, "c", 3, 0, origin}),
                       checkpoint_record("j1", 1, {0, false, "a", 1, 0, origin}), unverified(1, 1),
                       unverified(2, 0), checkpoint_record("j1", 2, {1, true, "a", 1, 0, origin})});
  BOOST_TEST(ledger.checkpoint("j1", 0)->checkpoint.origin.unknown());
  BOOST_TEST(ledger.checkpoint("j1", 1)->checkpoint.origin.unknown());
  BOOST_TEST((ledger.checkpoint("j1", 2)->checkpoint.origin == origin));
}

BOOST_AUTO_TEST_CASE(checkpoint_steps_are_concatenated_and_a_restart_discards_earlier_ones) {
  JobLedger ledger;
  ledger.load_results({checkpoint_record("j1", 4, {1, false, "\nb", 2, 0}),
                       checkpoint_record("j1", 4, {0, false, "a", 1, 0}),
                       checkpoint_record("j1", 5, {0, false, "x", 7, 0}),
                       checkpoint_record("j1", 5, {1, true, "", std::nullopt, 2})});
  const auto* whole = ledger.checkpoint("j1", 4);
  BOOST_TEST_REQUIRE(whole != nullptr);
  BOOST_TEST(whole->checkpoint.text == "a\nb");
  BOOST_TEST((whole->checkpoint.last_event == 2U));
  BOOST_TEST(whole->steps == 2U);
  const auto* restarted = ledger.checkpoint("j1", 5);
  BOOST_TEST(restarted->checkpoint.text.empty());
  BOOST_TEST(!restarted->checkpoint.last_event.has_value());
  BOOST_TEST(restarted->checkpoint.failures == 2);
  BOOST_TEST(ledger.checkpoint("j1", 6) == nullptr);
}

BOOST_AUTO_TEST_CASE(malformed_records_are_skipped) {
  JobLedger ledger;
  for (const char* key : {"", "j", "j/", "r1/2/3", "p", "p/", "p/1", "pa/1/2", "zzz"}) {
    BOOST_TEST(!ledger.apply_job_record({key, "\x01\x02\x03\x04\x05", 1}).has_value());
    ledger.load_results({{key, "\xc1", 1}});
  }
  BOOST_TEST(ledger.jobs().empty());
}

BOOST_AUTO_TEST_CASE(the_tenant_of_a_job_survives_serialization) {
  BatchJob submitted = job("j1", 2, 10);
  submitted.tenant = "clinic";
  JobLedger ledger;
  for (const KeyedRecord& record : job_records(submitted, kRecordBytes)) {
    ledger.apply_job_record(record);
  }
  BOOST_TEST_REQUIRE(ledger.find("j1") != nullptr);
  BOOST_TEST(ledger.find("j1")->job.tenant == "clinic");
}

// Versions without tenants wrote job records with five fields, the items last.
BOOST_AUTO_TEST_CASE(job_records_without_a_tenant_field_are_decoded) {
  const nlohmann::json item = {"i1", "/batch/1", {"Model", "m"}, "body", 12.0};
  const nlohmann::json wire = {"j1", "a.example", "/batch/", 1'000, {item}};
  std::string value{'\0', '\0', '\0', '\1'};  // A piece count of one.
  nlohmann::json::to_msgpack(wire, value);
  JobLedger ledger;
  BOOST_TEST(ledger.apply_job_record({"jj1/0", value, 0}).value_or("") == "j1");
  BOOST_TEST_REQUIRE(ledger.find("j1") != nullptr);
  BOOST_TEST(ledger.find("j1")->job.tenant.empty());
  BOOST_TEST(ledger.find("j1")->job.items.front().body == "body");
}

BOOST_AUTO_TEST_CASE(jobs_of_different_tenants_never_share_an_id) {
  BOOST_TEST(tenant_job_id("clinic", "j1") != tenant_job_id("shop", "j1"));
  BOOST_TEST(tenant_job_id({}, "j1") == "j1");
  // A client-chosen id that equals another tenant's internal id is mapped to a different one.
  const std::string foreign = tenant_job_id("shop", "j1");
  BOOST_TEST(tenant_job_id("clinic", foreign) != foreign);
}

BOOST_AUTO_TEST_SUITE_END()
