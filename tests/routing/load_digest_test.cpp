#include "dockpoint/routing/load_digest.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/membership/messages.hpp"

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(load_digest)

BOOST_AUTO_TEST_CASE(a_digest_travels_whole_and_is_told_from_other_messages) {
  const LoadDigest digest{
      "n1", 7, 99, true, "10.0.0.1:80", {{1, 2, 3, 1}, {4'000'000'000U, 5, 0, 0}}};
  const std::string bytes = encode(digest);
  BOOST_TEST(is_load_digest(bytes));
  BOOST_TEST(!decode_peer_message(bytes).has_value());
  const auto decoded = decode_load_digest(bytes);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->node == "n1");
  BOOST_TEST(decoded->configuration_version == 7U);
  BOOST_TEST(decoded->fleet_position == 99U);
  BOOST_TEST_REQUIRE(decoded->entries.size() == 2U);
  BOOST_TEST(decoded->entries[1].replica_key == 4'000'000'000U);
  BOOST_TEST(decoded->entries[0].prefill_tokens == 3U);
  BOOST_TEST(decoded->entries[0].batch == 1U);
  PeerMessage message;
  message.sender.id = "n2";
  BOOST_TEST(!is_load_digest(encode(message)));
}

BOOST_AUTO_TEST_CASE(damaged_digests_are_dropped) {
  const std::string bytes = encode(LoadDigest{"n1", 7, 99, true, "10.0.0.1:80", {{1, 2, 3, 0}}});
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

BOOST_AUTO_TEST_CASE(a_collection_travels_whole_in_datagrams_of_limited_size) {
  LoadCollection collection{"zone-a", true, {}};
  for (int node = 0; node < 50; ++node) {
    const std::string name = "node-" + std::to_string(node);
    collection.digests.push_back(
        encode(LoadDigest{name, 7, 99, true, "10.0.0.1:80", {{1, 2, 3, 0}}}));
  }
  constexpr std::size_t kLimit = 700;
  std::vector<std::string> digests;
  for (const std::string& bytes : encode(collection, kLimit)) {
    BOOST_TEST(bytes.size() <= kLimit);
    BOOST_TEST(is_load_collection(bytes));
    BOOST_TEST(!is_load_digest(bytes));
    BOOST_TEST(!decode_peer_message(bytes).has_value());
    const auto decoded = decode_load_collection(bytes);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->zone == "zone-a");
    BOOST_TEST(decoded->passed_on);
    digests.insert(digests.end(), decoded->digests.begin(), decoded->digests.end());
  }
  BOOST_TEST((digests == collection.digests));
  BOOST_TEST(encode(LoadCollection{"zone-a", true, {}}, kLimit).empty());
}

BOOST_AUTO_TEST_CASE(damaged_collections_are_dropped) {
  const std::string bytes = encode(LoadCollection{"z", false, {"first", "second"}}, 1000).front();
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
