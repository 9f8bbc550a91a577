#include "net/http_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

namespace dockpoint::net {
namespace http = boost::beast::http;
namespace {

/// Maximum size of a response head, of a chunk's size line, and of trailers, in bytes.
constexpr std::uint32_t kResponseHeaderLimit = 64 * 1024;

/// Beast's number for HTTP/1.0.
constexpr int kHttp10 = 10;

/// Maximum body size for which memory is reserved up front, in bytes.
constexpr std::uint64_t kReserveLimit = 256 * 1024;

ParseStatus status_of(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) {
    return ParseStatus::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ParseStatus::kBodyTooLarge;
  }
  return ParseStatus::kMalformed;
}

/// Size of a last chunk without extensions and trailers, "0\r\n\r\n", in bytes.
constexpr std::size_t kShortestLastChunk = 5;

/// Whether `bytes` may be a part of the last chunk of an empty body. Beast reads the size line of a
/// last chunk again when more bytes arrive, and then asserts that no fewer than five are there.
template <class Parser>
bool awaits_empty_body_end(const Parser& parser, bool chunk_seen, std::string_view bytes) {
  return parser.is_header_done() && parser.chunked() && !chunk_seen && bytes.starts_with('0') &&
         bytes.size() < kShortestLastChunk;
}

/// Feeds `parser` until it is done or cannot consume the remaining bytes.
/// @param chunk_seen whether a chunk of the body has begun; the parser's callbacks set it.
/// @param line_limit maximum bytes after the head that may remain unconsumed: Beast takes a size
/// line only once it is complete, and the last one only together with the trailers.
template <class Parser>
ParseStatus feed_parser(Parser& parser, const bool& chunk_seen, std::size_t line_limit,
                        std::string& buffer) {
  std::size_t consumed = 0;
  ParseStatus status = ParseStatus::kNeedMore;
  while (consumed < buffer.size() && !parser.is_done()) {
    const std::string_view remaining = std::string_view(buffer).substr(consumed);
    if (awaits_empty_body_end(parser, chunk_seen, remaining)) {
      break;
    }
    boost::beast::error_code error;
    const std::size_t taken =
        parser.put(boost::asio::const_buffer(remaining.data(), remaining.size()), error);
    consumed += taken;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      status = status_of(error);
      break;
    }
    if (taken == 0) {
      break;
    }
  }
  if (parser.is_done() && status == ParseStatus::kNeedMore) {
    status = ParseStatus::kDone;
  }
  buffer.erase(0, consumed);
  if (status == ParseStatus::kNeedMore && parser.is_header_done() && buffer.size() > line_limit) {
    status = ParseStatus::kHeaderTooLarge;
  }
  return status;
}

}  // namespace

RequestParser::RequestParser(std::uint32_t header_limit_bytes, std::uint64_t body_limit_bytes)
    : header_limit_(header_limit_bytes), body_limit_(body_limit_bytes) {
  this->header_limit(header_limit_bytes);
  this->body_limit(body_limit_bytes);
  this->eager(true);
}

ParseStatus RequestParser::feed(std::string& buffer) {
  started_ = started_ || !buffer.empty();
  const ParseStatus status =
      feed_parser(static_cast<basic_parser<true>&>(*this), chunk_seen_, header_limit_, buffer);
  head_.keep_alive = is_header_done() && keep_alive();
  return status;
}

void RequestParser::on_request_impl(http::verb /*method*/, String method_text, String target,
                                    int version, ErrorCode& /*error*/) {
  head_.http_1_0 = version == kHttp10;
  head_.method.assign(method_text.data(), method_text.size());
  head_.target.assign(target.data(), target.size());
}

void RequestParser::on_response_impl(int /*code*/, String /*reason*/, int /*version*/,
                                     ErrorCode& /*error*/) {}

void RequestParser::on_field_impl(http::field /*field*/, String name, String value,
                                  ErrorCode& /*error*/) {
  if (is_header_done()) {
    return;
  }
  head_.headers.add(std::string_view(name.data(), name.size()),
                    std::string_view(value.data(), value.size()));
}

std::uint64_t RequestParser::held_bytes() const {
  return head_.method.capacity() + head_.target.capacity() + head_.headers.memory_bytes() +
         body_.capacity();
}

void RequestParser::append_body(std::string_view bytes) {
  const std::uint64_t needed = body_.size() + bytes.size();
  if (needed > body_.capacity()) {
    // Halves of the limit: the last step then ends at the limit instead of beyond it.
    std::uint64_t capacity = body_limit_;
    while (capacity / 2 >= needed) {
      capacity /= 2;
    }
    body_.reserve(capacity);
  }
  body_.append(bytes);
}

void RequestParser::on_header_impl(ErrorCode& /*error*/) {}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                      ErrorCode& /*error*/) {
  if (length) {
    body_.reserve(static_cast<std::size_t>(std::min(*length, kReserveLimit)));
  }
}

std::size_t RequestParser::on_body_impl(String bytes, ErrorCode& /*error*/) {
  append_body({bytes.data(), bytes.size()});
  return bytes.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, String /*extensions*/,
                                         ErrorCode& /*error*/) {
  chunk_seen_ = true;
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, String bytes,
                                              ErrorCode& /*error*/) {
  append_body({bytes.data(), bytes.size()});
  return bytes.size();
}

void RequestParser::on_finish_impl(ErrorCode& /*error*/) {}

ResponseParser::ResponseParser(HeadSink on_head, BodySink on_body)
    : on_head_(std::move(on_head)), on_body_(std::move(on_body)) {
  this->header_limit(kResponseHeaderLimit);
  this->body_limit(boost::none);
  this->eager(true);
}

ParseStatus ResponseParser::feed(std::string& buffer) {
  const ParseStatus status = feed_parser(static_cast<basic_parser<false>&>(*this), chunk_seen_,
                                         kResponseHeaderLimit, buffer);
  const bool refused = status != ParseStatus::kNeedMore && status != ParseStatus::kDone;
  if (refused && !is_header_done() && !fault_) {
    fault_ = status == ParseStatus::kHeaderTooLarge ? HeadFault::kSize : HeadFault::kSyntax;
  }
  return status;
}

bool ResponseParser::feed_end() {
  if (!is_header_done() || is_done()) {
    return is_done();
  }
  ErrorCode error;
  put_eof(error);
  return !error && is_done();
}

void ResponseParser::on_request_impl(http::verb /*method*/, String /*method_text*/,
                                     String /*target*/, int /*version*/, ErrorCode& /*error*/) {}

void ResponseParser::on_response_impl(int code, String reason, int version, ErrorCode& /*error*/) {
  head_.http_1_0 = version == kHttp10;
  head_.status = code;
  head_.reason.assign(reason.data(), reason.size());
}

void ResponseParser::on_field_impl(http::field /*field*/, String name, String value,
                                   ErrorCode& /*error*/) {
  if (is_header_done()) {
    return;
  }
  head_.headers.add(std::string_view(name.data(), name.size()),
                    std::string_view(value.data(), value.size()));
}

void ResponseParser::on_header_impl(ErrorCode& error) {
  fault_ = find_fault(head_);
  if (fault_) {
    error = *fault_ == HeadFault::kStatus ? http::error::bad_status : http::error::bad_field;
    return;
  }
  head_.ends_with_connection = allows_body(head_.status) && !chunked() && !content_length();
  head_.keep_alive = keep_alive() && !head_.ends_with_connection;
  on_head_(head_);
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                                       ErrorCode& /*error*/) {}

std::size_t ResponseParser::on_body_impl(String bytes, ErrorCode& /*error*/) {
  on_body_({bytes.data(), bytes.size()});
  return bytes.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t /*size*/, String /*extensions*/,
                                          ErrorCode& /*error*/) {
  chunk_seen_ = true;
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t /*remaining*/, String bytes,
                                               ErrorCode& /*error*/) {
  on_body_({bytes.data(), bytes.size()});
  return bytes.size();
}

void ResponseParser::on_finish_impl(ErrorCode& /*error*/) {}

}  // namespace dockpoint::net
