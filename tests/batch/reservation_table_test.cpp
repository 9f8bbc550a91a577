#include "dockpoint/batch/reservation_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(reservation_table)

BOOST_AUTO_TEST_CASE(the_newest_reservations_of_all_jobs_are_summed) {
  ReservationTable table("route");
  BOOST_TEST(table.apply(reservation_record("route", "a", {100, 1'000})) == 0);
  BOOST_TEST(table.apply(reservation_record("route", "b", {50, 2'000})) == 0);
  BOOST_TEST(table.tokens({}) == 150);
  BOOST_TEST(table.apply(reservation_record("route", "a", {30, 1'000})) == 70);
  BOOST_TEST(table.tokens({}) == 80);
  BOOST_TEST(table.tokens_reserved_before({}, 1'500) == 30);
  BOOST_TEST(table.apply(reservation_removal("route", "b")) == 50);
  BOOST_TEST(table.tokens({}) == 30);
  BOOST_TEST(!table.find("b").has_value());
  BOOST_TEST(table.find("a")->tokens == 30);
}

BOOST_AUTO_TEST_CASE(records_of_other_routes_in_the_partition_are_ignored) {
  ReservationTable table("one");
  table.apply(reservation_record("other", "a", {100, 0}));
  BOOST_TEST(table.tokens({}) == 0);
}

BOOST_AUTO_TEST_CASE(malformed_reservation_records_are_ignored) {
  ReservationTable table("route");
  KeyedRecord record = reservation_record("route", "a", {100, 0});
  record.value = "no reservation";
  table.apply(record);
  table.apply({"", "", 0});
  BOOST_TEST(table.all().empty());
}

BOOST_AUTO_TEST_SUITE_END()
