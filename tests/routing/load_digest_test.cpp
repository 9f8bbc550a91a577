#include "dockpoint/routing/load_digest.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/membership/messages.hpp"

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(load_digest)

BOOST_AUTO_TEST_CASE(a_digest_travels_whole_and_is_told_from_other_messages) {
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

BOOST_AUTO_TEST_CASE(damaged_digests_are_dropped) {
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

BOOST_AUTO_TEST_CASE(a_collection_travels_whole_and_is_told_from_other_messages) {
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

BOOST_AUTO_TEST_CASE(damaged_collections_are_dropped) {
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
