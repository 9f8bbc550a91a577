#include "net/http_parser.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace dockpoint::net;

namespace {

constexpr std::uint32_t kHeaderLimit = 1'024;
constexpr std::uint64_t kBodyLimit = 64;
constexpr std::size_t kResponseLineLimit = 64 * 1024;

struct Parsed {
  ParseStatus status = ParseStatus::kNeedMore;
  RequestHead head;
  std::string body;
  std::string rest;
};

/// Parses a request that arrives in pieces of `size` bytes.
Parsed parse_in_pieces(std::string_view bytes, std::size_t size) {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  Parsed parsed;
  std::string buffer;
  while (!bytes.empty() && parsed.status == ParseStatus::kNeedMore) {
    buffer += bytes.substr(0, size);
    bytes.remove_prefix(std::min(size, bytes.size()));
    parsed.status = parser.feed(buffer);
  }
  parsed.head = parser.head();
  parsed.body = parser.body();
  parsed.rest = buffer + std::string(bytes);
  return parsed;
}

ParseStatus status_of(const std::string& bytes) {
  return parse_in_pieces(bytes, bytes.size()).status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_parser)

BOOST_AUTO_TEST_CASE(requests_parse_identically_for_every_fragmentation) {
  const std::string by_length =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /";
  const std::string by_chunks =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\nGET /";
  for (const std::string& bytes : {by_length, by_chunks}) {
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
      const Parsed parsed = parse_in_pieces(bytes, size);
      BOOST_TEST((parsed.status == ParseStatus::kDone));
      BOOST_TEST(parsed.head.method == "POST");
      BOOST_TEST(parsed.head.target == "/a?b");
      BOOST_TEST(parsed.head.headers.get("host") == "h");
      BOOST_TEST(parsed.head.keep_alive);
      BOOST_TEST(parsed.body == "hello");
      BOOST_TEST(parsed.rest == "GET /");
    }
  }
}

BOOST_AUTO_TEST_CASE(oversized_headers_and_bodies_are_rejected) {
  const std::string long_field = "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n";
  BOOST_TEST((status_of(long_field) == ParseStatus::kHeaderTooLarge));
  BOOST_TEST(
      (status_of("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n") == ParseStatus::kBodyTooLarge));
  BOOST_TEST((status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" +
                        std::string(0x50, 'x') + "\r\n0\r\n\r\n") == ParseStatus::kBodyTooLarge));
}

BOOST_AUTO_TEST_CASE(ambiguously_framed_requests_are_rejected) {
  for (const char* head : {
           "Content-Length: 5\r\nContent-Length: 6\r\n",
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
           "Content-Length: +5\r\n",
           "Content-Length: 5,6\r\n",
           "Content-Length: 99999999999999999999999\r\n",
           "Bad Name: x\r\n",
           "X : y\r\n",
           "X: a\rb\r\n",
       }) {
    const std::string bytes = std::string("POST / HTTP/1.1\r\n") + head + "\r\nhello";
    BOOST_TEST((status_of(bytes) == ParseStatus::kMalformed), head);
  }
  BOOST_TEST((status_of("GET /\r\n\r\n") == ParseStatus::kMalformed));
  BOOST_TEST((status_of("GET / HTTP/9.9\r\n\r\n") == ParseStatus::kMalformed));
}

BOOST_AUTO_TEST_CASE(a_response_without_length_ends_at_connection_close) {
  std::string body;
  ResponseHead head;
  ResponseParser parser([&](const ResponseHead& seen) { head = seen; },
                        [&](std::string_view bytes) { body += bytes; });
  std::string buffer = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc";
  BOOST_TEST((parser.feed(buffer) == ParseStatus::kNeedMore));
  BOOST_TEST(head.ends_with_connection);
  BOOST_TEST(!head.keep_alive);
  BOOST_TEST(parser.feed_end());
  BOOST_TEST(body == "abc");
}

// The last chunk of an empty body follows no other chunk, and may come in any pieces.
BOOST_AUTO_TEST_CASE(an_empty_chunked_body_ends_for_every_fragmentation) {
  for (const std::string last_chunk : {"0\r\n\r\n", "000;x=y\r\n\r\n", "0\r\nT: v\r\n\r\n"}) {
    const std::string framing = "Transfer-Encoding: chunked\r\n\r\n" + last_chunk;
    const std::string answer = "HTTP/1.1 200 OK\r\n" + framing;
    for (std::size_t size = 1; size <= answer.size(); ++size) {
      const Parsed request = parse_in_pieces("POST / HTTP/1.1\r\n" + framing + "GET /", size);
      BOOST_TEST((request.status == ParseStatus::kDone));
      BOOST_TEST(request.rest == "GET /");
      ResponseParser parser([](const ResponseHead&) {}, [](std::string_view) {});
      ParseStatus status = ParseStatus::kNeedMore;
      std::string buffer;
      for (std::size_t sent = 0; sent < answer.size(); sent += size) {
        buffer += answer.substr(sent, size);
        status = parser.feed(buffer);
      }
      BOOST_TEST((status == ParseStatus::kDone));
      BOOST_TEST(buffer.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_incomplete) {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200 O"}) {
    ResponseParser parser([](const ResponseHead&) {}, [](std::string_view) {});
    std::string buffer = bytes;
    BOOST_TEST((parser.feed(buffer) == ParseStatus::kNeedMore));
    BOOST_TEST(!parser.feed_end());
  }
}

// Fuzzes answers in random chunks or with a length: cut anywhere, or followed by another one.
BOOST_AUTO_TEST_CASE(a_framed_answer_ends_only_with_its_last_byte) {
  constexpr int kRounds = 20'000;
  const std::string next_answer = "HTTP/1.1 503 \r\n\r\n";
  std::mt19937_64 random(20261204);
  for (int round = 0; round < kRounds; ++round) {
    const std::string body(random() % 40, 'b');
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    if (random() % 2 == 0) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t sent = 0; sent < body.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 9, body.size() - sent);
        bytes += as_chunk(body.substr(sent, size));
        sent += size;
      }
      bytes += as_chunk({});
    }
    const bool cut = random() % 2 == 0;
    std::string input = cut ? bytes.substr(0, random() % bytes.size()) : bytes + next_answer;
    std::string received;
    ResponseParser parser([](const ResponseHead&) {},
                          [&](std::string_view piece) { received += piece; });
    ParseStatus status = ParseStatus::kNeedMore;
    std::string buffer;
    while (!input.empty() && status == ParseStatus::kNeedMore) {
      const std::size_t size = 1 + random() % 12;
      buffer += input.substr(0, size);
      input.erase(0, size);
      status = parser.feed(buffer);
    }
    BOOST_REQUIRE(body.starts_with(received));
    if (cut) {
      BOOST_REQUIRE((status == ParseStatus::kNeedMore));
      BOOST_REQUIRE(!parser.feed_end());
    } else {
      BOOST_REQUIRE((status == ParseStatus::kDone));
      BOOST_REQUIRE(received == body);
      BOOST_REQUIRE(buffer + input == next_answer);
    }
  }
}

// Beast takes size lines and trailers only once they are complete; they were buffered without a
// bound.
BOOST_AUTO_TEST_CASE(size_lines_and_trailers_without_end_are_rejected) {
  constexpr std::size_t kPiece = 100;
  const std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* begin :
       {"1;", "1\r\nx\r\n1;", "0;", "1\r\nx\r\n0;", "0\r\nT: ", "1\r\nx\r\n0\r\nT: ", ""}) {
    for (const bool is_request : {true, false}) {
      RequestParser request_parser(kHeaderLimit, kBodyLimit);
      ResponseParser response_parser([](const ResponseHead&) {}, [](std::string_view) {});
      const std::size_t limit = is_request ? kHeaderLimit : kResponseLineLimit;
      ParseStatus status = ParseStatus::kNeedMore;
      std::string buffer = (is_request ? request : answer) + begin;
      for (std::size_t fed = 0; fed <= limit && status == ParseStatus::kNeedMore; fed += kPiece) {
        buffer += std::string(kPiece, 'e');
        status = is_request ? request_parser.feed(buffer) : response_parser.feed(buffer);
        BOOST_REQUIRE(buffer.size() <= limit + kPiece);
      }
      BOOST_TEST((status == ParseStatus::kHeaderTooLarge || status == ParseStatus::kMalformed),
                 begin);
    }
  }
}

BOOST_AUTO_TEST_CASE(trailers_do_not_become_fields_of_the_head) {
  const Parsed request = parse_in_pieces(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
      "Host: other\r\nApi-Key: key\r\n\r\n",
      7);
  BOOST_TEST((request.status == ParseStatus::kDone));
  BOOST_TEST(request.head.headers.get("Host") == "h");
  BOOST_TEST(!request.head.headers.has("Api-Key"));
  ResponseParser parser([](const ResponseHead&) {}, [](std::string_view) {});
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: v\r\n\r\n";
  BOOST_TEST((parser.feed(answer) == ParseStatus::kDone));
  BOOST_TEST(!parser.head().headers.has("T"));
}

// A field of a few bytes took two strings of the library.
BOOST_AUTO_TEST_CASE(many_short_fields_cost_little_more_than_their_bytes) {
  constexpr std::uint32_t kLimit = 16 * 1024;
  constexpr std::uint64_t kCostPerByte = 8;
  RequestParser parser(kLimit, kBodyLimit);
  std::string buffer = "POST / HTTP/1.1\r\n";
  while (buffer.size() + 8 < kLimit) {
    buffer += "a:\r\n";
  }
  const std::size_t sent = buffer.size();
  BOOST_TEST((parser.feed(buffer) == ParseStatus::kNeedMore));
  BOOST_TEST(parser.head().headers.size() > sent / 5);
  BOOST_TEST(parser.head().headers.memory_bytes() <= kCostPerByte * sent);
}

// Random requests in chunks, with extensions and trailers, cut at random places: what the parser
// and its input hold follows from the limits, whatever the verdict.
BOOST_AUTO_TEST_CASE(what_a_parser_holds_is_bounded_for_every_fragmentation) {
  constexpr int kRounds = 3'000;
  constexpr std::size_t kLargestPiece = 300;
  constexpr std::uint64_t kFieldCost = 8;
  constexpr std::uint64_t kBound =
      kFieldCost * kHeaderLimit + 2 * kBodyLimit + kHeaderLimit + kLargestPiece;
  std::mt19937_64 random(20261205);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
    for (std::uint64_t fields = random() % 100; fields > 0; --fields) {
      bytes += "a:" + std::string(random() % 4, 'v') + "\r\n";
    }
    bytes += "\r\n";
    for (std::uint64_t chunks = random() % 20; chunks > 0; --chunks) {
      bytes +=
          "1;e=" + std::string(random() % (random() % 20 == 0 ? 3'000 : 30), 'e') + "\r\nx\r\n";
    }
    bytes += "0;" + std::string(random() % 10 == 0 ? 2'000 : 3, 'e') + "\r\n";
    for (std::uint64_t trailers = random() % 50; trailers > 0; --trailers) {
      bytes += "Trailer: " + std::string(random() % 60, 't') + "\r\n";
    }
    bytes += "\r\n";
    RequestParser parser(kHeaderLimit, kBodyLimit);
    ParseStatus status = ParseStatus::kNeedMore;
    std::string buffer;
    while (!bytes.empty() && status == ParseStatus::kNeedMore) {
      const std::size_t size = std::min(bytes.size(), 1 + random() % kLargestPiece);
      buffer += bytes.substr(0, size);
      bytes.erase(0, size);
      status = parser.feed(buffer);
      BOOST_REQUIRE(parser.held_bytes() + buffer.size() <= kBound);
    }
    BOOST_REQUIRE((status != ParseStatus::kNeedMore));
    BOOST_REQUIRE(!parser.head().headers.has("Trailer"));
  }
}

BOOST_AUTO_TEST_CASE(mutated_requests_neither_crash_nor_exceed_the_body_limit) {
  constexpr int kRounds = 30'000;
  const std::string seed =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX: "
      "y\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
  std::mt19937_64 random(20261202);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = seed;
    for (std::uint64_t change = 0; change < 1 + random() % 6; ++change) {
      const std::size_t place = random() % bytes.size();
      if (random() % 3 == 0) {
        bytes.erase(place, random() % 8);
      } else if (random() % 2 == 0) {
        bytes[place] = static_cast<char>(random());
      } else {
        bytes.insert(place, seed.substr(random() % seed.size(), random() % 12));
      }
      if (bytes.empty()) {
        bytes = seed;
      }
    }
    const Parsed parsed = parse_in_pieces(bytes, 1 + random() % 40);
    BOOST_REQUIRE(parsed.body.size() <= kBodyLimit);
  }
}

BOOST_AUTO_TEST_SUITE_END()
