#include "dockpoint/routing/slot_request.hpp"

#include <boost/test/unit_test.hpp>

#include "dockpoint/routing/load_digest.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

BOOST_AUTO_TEST_SUITE(slot_request)

BOOST_AUTO_TEST_CASE(a_request_survives_encoding_and_decoding) {
  const std::string bytes = encode(SlotRequest{4'000'000'000U});
  BOOST_TEST(is_slot_request(bytes));
  BOOST_TEST(!is_load_digest(bytes));
  BOOST_TEST(!is_load_collection(bytes));
  BOOST_REQUIRE(decode_slot_request(bytes).has_value());
  BOOST_TEST(decode_slot_request(bytes)->replica_key == 4'000'000'000U);
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected) {
  BOOST_TEST(!decode_slot_request("").has_value());
  BOOST_TEST(!decode_slot_request("\xc3").has_value());
  BOOST_TEST(!decode_slot_request("\xc3no number").has_value());
  BOOST_TEST(!is_slot_request(encode(LoadDigest{})));
}

BOOST_AUTO_TEST_CASE(the_peer_with_most_items_is_chosen_and_each_item_claimed_once) {
  const Knobs knobs;
  ReplicaDirectory directory(knobs);
  ReplicaRecord record;
  record.id = "r1";
  record.service = "lm";
  record.slots = 8;
  directory.upsert(record, at(0));
  const std::uint32_t key = directory.find("r1")->key;
  directory.set_peer_loads(
      {{1, 0, 0, true, 5, {{key, 3, 0, 1, 0}}}, {2, 0, 0, true, 5, {{key, 2, 0, 2, 0}}}}, at(0));
  BOOST_TEST(directory.find("r1")->all_batch() == 3);
  BOOST_TEST(directory.claim_peer_item(key, at(10)).value_or(0) == 2U);
  BOOST_TEST(directory.find("r1")->all_batch() == 2);
  BOOST_TEST(directory.find("r1")->load(at(10)) == 4);
  BOOST_TEST(directory.claim_peer_item(key, at(10)).has_value());
  BOOST_TEST(directory.claim_peer_item(key, at(10)).has_value());
  BOOST_TEST(!directory.claim_peer_item(key, at(10)).has_value());
  BOOST_TEST(directory.find("r1")->all_online() == 2);
  BOOST_TEST(directory.find_key(key) == directory.find("r1"));
  BOOST_TEST(directory.find_key(key + 1) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
