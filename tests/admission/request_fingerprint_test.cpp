#include "dockpoint/admission/request_fingerprint.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace dockpoint;

namespace {

const RequestContent kRequest{"POST", "a.example", "/notes/7?lang=el", "clinic", "a body"};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_fingerprint)

BOOST_AUTO_TEST_CASE(the_fingerprint_of_given_content_is_stable_across_versions) {
  BOOST_TEST(fingerprint_of(kRequest).hex() == "89b27ef76a8d50060bb74cdf82e962ce");
}

BOOST_AUTO_TEST_CASE(a_change_of_any_part_changes_the_fingerprint) {
  std::set<RequestFingerprint> seen{fingerprint_of(kRequest)};
  for (std::string_view RequestContent::*part :
       {&RequestContent::method, &RequestContent::host, &RequestContent::target,
        &RequestContent::tenant, &RequestContent::body}) {
    RequestContent other = kRequest;
    other.*part = "other";
    BOOST_TEST(seen.insert(fingerprint_of(other)).second);
  }
}

BOOST_AUTO_TEST_CASE(a_fingerprint_is_parsed_only_from_exactly_32_hex_digits) {
  const RequestFingerprint request = fingerprint_of(kRequest);
  BOOST_TEST((Hash128::parse(request.hex()) == request));
  for (const char* text :
       {"", "12", "g0000000000000000000000000000000", "0000000000000000000000000000000 ",
        "00000000000000000000000000000000000"}) {
    BOOST_TEST(!Hash128::parse(text), text);
  }
}

BOOST_AUTO_TEST_CASE(moving_bytes_between_parts_changes_the_fingerprint) {
  const RequestContent left{"POST", "h", "/a", "b", "c"};
  const RequestContent right{"POST", "h", "/ab", "", "c"};
  BOOST_TEST((fingerprint_of(left) != fingerprint_of(right)));
}

BOOST_AUTO_TEST_SUITE_END()
