#include "dockpoint/routing/load_digest.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/membership/messages.hpp"

using namespace dockpoint;

namespace {

std::string from_hex(std::string_view text) {
  std::string bytes;
  for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(text.substr(index, 2)), nullptr, 16)));
  }
  return bytes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_digest)

// Guards against an incompatible encoding: during a rolling upgrade two versions run side by side.
// The bytes were encoded by version 0.1.0 before evacuations and cells were added to the digest.
BOOST_AUTO_TEST_CASE(a_digest_of_the_previous_version_is_decoded) {
  const auto digest =
      decode_load_digest(from_hex("c19ace0001117007cd0159c303950b02cd012c010005090493150601"));
  BOOST_TEST_REQUIRE(digest.has_value());
  BOOST_TEST(digest->node == 70'000U);
  BOOST_TEST(digest->configuration_version == 7U);
  BOOST_TEST(digest->fleet_position == 345U);
  BOOST_TEST(digest->pending_items == 3U);
  BOOST_TEST_REQUIRE(digest->entries.size() == 1U);
  BOOST_TEST(digest->entries.front().prefill_tokens == 300U);
  BOOST_TEST(digest->spend.spends.size() == 1U);
  BOOST_TEST(digest->operator_position == 0U);
  BOOST_TEST(!digest->without_load);
}

BOOST_AUTO_TEST_CASE(a_member_of_the_previous_version_is_decoded_without_new_capabilities) {
  const auto member = unpack<Member>(from_hex(
      "98a26e310500ab31302e302e302e313a3730ab31302e302e302e313a3830a67a6f6e652d6105ab31302e"
      "302e302e313a3930"));
  BOOST_TEST_REQUIRE(member.has_value());
  BOOST_TEST(member->id == "n1");
  BOOST_TEST(member->control_address == "10.0.0.1:90");
  BOOST_TEST(!member->is_capable_of(Capability::kCells));
  BOOST_TEST(!member->is_capable_of(Capability::kRecords));
}

BOOST_AUTO_TEST_CASE(a_digest_round_trips_and_is_distinct_from_other_messages) {
  const LoadDigest digest{node_key("n1"), 7,  99,
                          true,           12, {{1, 2, 3, 1, 7}, {4'000'000'000U, 5, 0, 0, 0}}};
  const std::string bytes = encode(digest);
  BOOST_TEST(is_load_digest(bytes));
  BOOST_TEST(!decode_peer_message(bytes).has_value());
  const auto decoded = decode_load_digest(bytes);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->node == node_key("n1"));
  BOOST_TEST(decoded->configuration_version == 7U);
  BOOST_TEST(decoded->fleet_position == 99U);
  BOOST_TEST(decoded->pending_items == 12U);
  BOOST_TEST_REQUIRE(decoded->entries.size() == 2U);
  BOOST_TEST(decoded->entries[1].replica_key == 4'000'000'000U);
  BOOST_TEST(decoded->entries[0].prefill_tokens == 3U);
  BOOST_TEST(decoded->entries[0].batch == 1U);
  BOOST_TEST(decoded->entries[0].failures == 7U);
  PeerMessage message;
  message.sender.id = "n2";
  BOOST_TEST(!is_load_digest(encode(message)));
}

BOOST_AUTO_TEST_CASE(decoding_corrupted_digests_is_safe) {
  const std::string bytes = encode(LoadDigest{node_key("n1"), 7, 99, true, 0, {{1, 2, 3, 0, 0}}});
  BOOST_TEST(!decode_load_digest("").has_value());
  std::mt19937_64 random(7);
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (int change = 0; change < 3 && !damaged.empty(); ++change) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    decode_load_digest(damaged);
  }
}

BOOST_AUTO_TEST_CASE(a_collection_round_trips_and_is_distinct_from_other_messages) {
  LoadCollection collection{"zone-a", true, {1, 4'000'000'000U}, {3}, {}};
  std::size_t digest_bytes = 0;
  for (int node = 0; node < 50; ++node) {
    const std::uint32_t key = node_key("node-" + std::to_string(node));
    collection.digests.push_back(encode(LoadDigest{key, 7, 99, true, 0, {{1, 2, 3, 0, 0}}}));
    digest_bytes += collection.digests.back().size() + kDigestOverhead;
  }
  const std::string bytes = encode(collection);
  BOOST_TEST(bytes.size() <= collection_overhead("zone-a", 3) + digest_bytes);
  BOOST_TEST(is_load_collection(bytes));
  BOOST_TEST(!is_load_digest(bytes));
  BOOST_TEST(!decode_peer_message(bytes).has_value());
  const auto decoded = decode_load_collection(bytes);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->zone == "zone-a");
  BOOST_TEST(decoded->passed_on);
  BOOST_TEST(decoded->reaching_log == collection.reaching_log, boost::test_tools::per_element());
  BOOST_TEST(decoded->cut_off == collection.cut_off, boost::test_tools::per_element());
  BOOST_TEST((decoded->digests == collection.digests));
  BOOST_TEST((LoadCollection{"zone-a", true, {}, {}, {}}.empty()));
}

BOOST_AUTO_TEST_CASE(decoding_corrupted_collections_is_safe) {
  const std::string bytes = encode(LoadCollection{"z", false, {1, 2}, {3}, {"first", "second"}});
  std::mt19937_64 random(11);
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (int change = 0; change < 3 && !damaged.empty(); ++change) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    decode_load_collection(damaged);
  }
}

BOOST_AUTO_TEST_SUITE_END()
