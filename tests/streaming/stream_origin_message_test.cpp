#include "dockpoint/streaming/stream_origin_message.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/membership/messages.hpp"

using namespace dockpoint;

namespace {

StreamOriginMessage sample() {
  return {{{{1, 2}, {"lm", "v1"}}}, {{{3, 4}, "lm"}}, {{{5, 6}, true}}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_origin_message)

BOOST_AUTO_TEST_CASE(a_message_survives_encoding) {
  const std::string bytes = encode(sample());
  BOOST_TEST(is_stream_origin_message(bytes));
  const auto decoded = decode_stream_origin_message(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->records.size() == 1U);
  BOOST_TEST((decoded->records[0].key == StreamKey{1, 2}));
  BOOST_TEST((decoded->records[0].origin == StreamOrigin{"lm", "v1"}));
  BOOST_REQUIRE(decoded->questions.size() == 1U);
  BOOST_TEST((decoded->questions[0].key == StreamKey{3, 4}));
  BOOST_TEST(decoded->questions[0].service == "lm");
  BOOST_REQUIRE(decoded->unknown.size() == 1U);
  BOOST_TEST(decoded->unknown[0].several_versions);
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_build_without_contradictions_is_read) {
  const auto decoded = decode_stream_origin_message("\xc5\x93\x90\x90\x91\x93\x05\x06\xc3");
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->unknown.size() == 1U);
  BOOST_TEST((decoded->unknown[0].key == StreamKey{5, 6}));
  BOOST_TEST(decoded->unknown[0].several_versions);
  BOOST_TEST(!decoded->unknown[0].contradictory);
}

BOOST_AUTO_TEST_CASE(a_full_message_fits_into_a_datagram) {
  StreamOriginMessage message;
  const std::string long_name(100, 'x');
  message.records.assign(kOriginsPerMessage, {{~std::uint64_t{0}, ~std::uint64_t{0}},
                                              {long_name, long_name.substr(50)}});
  BOOST_TEST(encode(message).size() <= kMaximumDatagramBytes);
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected) {
  std::mt19937 random(1);
  const std::string bytes = encode(sample());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    BOOST_TEST(!decode_stream_origin_message(bytes.substr(0, length)).has_value());
  }
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    static_cast<void>(decode_stream_origin_message(damaged));
  }
  BOOST_TEST(!decode_peer_message(bytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
