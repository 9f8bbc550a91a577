#include "dockpoint/log/record_cache.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

struct Fixture {
  RecordCache cache;
  Fixture() { cache.replace({{"a", "1", 3}, {"b", "1", 5}}, 6); }
  std::vector<std::string> read(LogOffset from) const {
    std::vector<std::string> lines;
    for (const KeyedRecord& record : cache.read(from, {}).records) {
      lines.push_back(record.key + "=" + record.value);
    }
    return lines;
  }
};

using Lines = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(record_cache, Fixture)

BOOST_AUTO_TEST_CASE(a_load_returns_the_newest_record_of_each_key) {
  cache.add({"a", "2", 6});
  cache.add({"b", "", 7});
  const NewestOutcome page = cache.newest("", {});
  BOOST_TEST_REQUIRE(page.records.size() == 1U);
  BOOST_TEST(page.records.front().value == "2");
  BOOST_TEST(page.end == 8U);
  BOOST_TEST(!page.more);
}

BOOST_AUTO_TEST_CASE(a_read_continues_from_the_readers_offset) {
  BOOST_TEST(read(6).empty());
  cache.add({"c", "1", 6});
  cache.add({"a", "", 7});
  cache.add({"c", "2", 8});
  BOOST_TEST(read(6) == (Lines{"a=", "c=2"}), boost::test_tools::per_element());
  BOOST_TEST(read(8) == (Lines{"c=2"}), boost::test_tools::per_element());
  BOOST_TEST(cache.read(9, {}).records.empty());
  BOOST_TEST(cache.read(9, {}).next == 9U);
}

BOOST_AUTO_TEST_CASE(an_older_record_is_ignored) {
  cache.add({"a", "0", 2});
  cache.add({"b", "", 4});
  BOOST_TEST(cache.newest("", {}).records.size() == 2U);
  cache.add({"b", "", 7});
  cache.add({"b", "1", 6});
  BOOST_TEST(cache.newest("", {}).records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(offsets_before_the_load_count_as_compacted) {
  BOOST_TEST((cache.read(5, {}).status == LogStatus::kCompacted));
}

BOOST_AUTO_TEST_CASE(tombstones_are_retained_up_to_the_limit) {
  LogOffset offset = 6;
  for (std::size_t count = 0; count < RecordCache::kMaxRemovals + 10; ++count) {
    cache.add({"gone-" + std::to_string(count), "", offset++});
  }
  BOOST_TEST((cache.read(6, {}).status == LogStatus::kCompacted));
  BOOST_TEST((cache.read(16, {}).status == LogStatus::kOk));
}

BOOST_AUTO_TEST_CASE(long_answers_are_paged_without_gaps) {
  constexpr std::size_t kRecords = 3 * RecordCache::kPageRecords + 7;
  for (std::size_t count = 0; count < kRecords; ++count) {
    cache.add({"k" + std::to_string(count), "1", 6 + count});
  }
  LogOffset from = 6;
  std::size_t read_records = 0;
  for (ReadOutcome page = cache.read(from, {}); !page.records.empty();
       page = cache.read(from, {})) {
    BOOST_TEST(page.records.size() <= RecordCache::kPageRecords);
    read_records += page.records.size();
    from = page.next;
  }
  BOOST_TEST(read_records == kRecords);
  BOOST_TEST(from == cache.end());
  std::string after;
  std::size_t loaded = 0;
  for (bool more = true; more;) {
    const NewestOutcome page = cache.newest(after, {});
    loaded += page.records.size();
    after = page.records.back().key;
    more = page.more;
  }
  BOOST_TEST(loaded == kRecords + 2);
}

// A reader with a filter advances past records that the filter excludes.
BOOST_AUTO_TEST_CASE(a_filtered_read_advances_to_the_end_of_the_partition) {
  cache.add({"c", "1", 6});
  cache.add({"d", "1", 7});
  const auto only_c = [](const KeyedRecord& record) { return record.key == "c"; };
  const ReadOutcome outcome = cache.read(6, only_c);
  BOOST_TEST(outcome.records.size() == 1U);
  BOOST_TEST(outcome.next == 8U);
  BOOST_TEST(cache.newest("", only_c).records.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
