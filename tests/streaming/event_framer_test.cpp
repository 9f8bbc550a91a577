#include "dockpoint/streaming/event_framer.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace dockpoint;

namespace {

struct Seen {
  std::string bytes;
  std::optional<std::uint64_t> id;
  std::string data;
};

/// Feeds `stream` in pieces of `size` bytes.
std::vector<Seen> feed_in_pieces(EventFramer& framer, std::string_view stream, std::size_t size) {
  std::vector<Seen> seen;
  while (!stream.empty()) {
    framer.feed(stream.substr(0, size), [&](const StreamEvent& event) {
      seen.push_back({std::string(event.bytes), event.id, event.data});
    });
    stream.remove_prefix(std::min(size, stream.size()));
  }
  return seen;
}

constexpr std::string_view kStream = "id: 1\ndata: a\ndata: b\n\nid:2\r\ndata:c\r\n\r\n: note\n\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(event_framer)

BOOST_AUTO_TEST_CASE(events_are_complete_for_every_piece_size) {
  for (std::size_t size = 1; size <= kStream.size(); ++size) {
    EventFramer framer;
    const std::vector<Seen> seen = feed_in_pieces(framer, kStream, size);
    BOOST_TEST_REQUIRE(seen.size() == 3U, "pieces of " << size);
    BOOST_TEST((seen[0].id == 1U && seen[0].data == "a\nb"));
    BOOST_TEST((seen[1].id == 2U && seen[1].data == "c"));
    BOOST_TEST((!seen[2].id && seen[2].data.empty()));
    BOOST_TEST(seen[0].bytes + seen[1].bytes + seen[2].bytes == kStream);
    BOOST_TEST(framer.at_boundary());
  }
}

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_buffered) {
  EventFramer framer;
  const std::vector<Seen> seen = feed_in_pieces(framer, "id: 1\ndata: a\n\nid: 2\ndata: b\n", 7);
  BOOST_TEST(seen.size() == 1U);
  BOOST_TEST(!framer.at_boundary());
  framer.discard_partial();
  BOOST_TEST(framer.at_boundary());
}

BOOST_AUTO_TEST_SUITE_END()
