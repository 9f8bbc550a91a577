#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/head_check.hpp"
#include "net/http_message.hpp"

/// Incremental HTTP/1.1 parsers based on Boost.Beast.
namespace dockpoint::net {

/// Progress of a parser after the bytes supplied so far.
enum class ParseStatus {
  kNeedMore,
  kDone,
  kHeaderTooLarge,  ///< The head, a chunk's size line, or the trailers.
  kBodyTooLarge,
  kMalformed,
};

/// Parses one request and buffers its body. Trailers are dropped: they must not pass for fields of
/// the head (RFC 9110, 6.5). Not thread-safe.
class RequestParser : private boost::beast::http::basic_parser<true> {
 public:
  /// @param header_limit, body_limit in bytes. The former also bounds the size line of a chunk with
  /// its extensions, and the trailers.
  RequestParser(std::uint32_t header_limit, std::uint64_t body_limit);

  /// Consumes bytes from the front of `buffer`; bytes of the next request remain in it.
  ParseStatus feed(std::string& buffer);

  /// @return whether the head is complete.
  bool has_head() const { return is_header_done(); }
  /// @return whether any byte was consumed.
  bool started() const { return started_; }
  RequestHead& head() { return head_; }
  std::string& body() { return body_; }
  /// @return memory of the head and the body so far, in bytes.
  std::uint64_t held_bytes() const;

 private:
  using String = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb method, String method_text, String target,
                       int version, ErrorCode& error) override;
  void on_response_impl(int code, String reason, int version, ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field, String name, String value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override;
  std::size_t on_body_impl(String bytes, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, String extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, String bytes, ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  /// Appends to the body; its memory stays within the limit on bodies.
  void append_body(std::string_view bytes);

  const std::uint32_t header_limit_;
  const std::uint64_t body_limit_;
  RequestHead head_;
  std::string body_;
  bool started_ = false;
  bool chunk_seen_ = false;
};

/// Parses one response and forwards its body as it arrives. A response whose head has a fault is
/// malformed: no part of it is forwarded. Trailers are dropped. Not thread-safe.
class ResponseParser : private boost::beast::http::basic_parser<false> {
 public:
  /// Called with a piece of the body.
  using BodySink = std::function<void(std::string_view)>;
  /// Called when the head is complete, before any byte of the body.
  using HeadSink = std::function<void(const ResponseHead&)>;

  ResponseParser(HeadSink on_head, BodySink on_body);

  /// Consumes bytes from the front of `buffer`; bytes after the response remain in it.
  ParseStatus feed(std::string& buffer);
  /// Signals that the peer has closed its side of the connection.
  /// @return whether this completes the response.
  bool feed_end();

  /// @return whether a head without a fault is complete.
  bool has_head() const { return is_header_done() && !fault_; }
  const ResponseHead& head() const { return head_; }
  /// @return why the head is malformed; nothing if it is not, or not complete.
  std::optional<HeadFault> fault() const { return fault_; }

 private:
  using String = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb method, String method_text, String target,
                       int version, ErrorCode& error) override;
  void on_response_impl(int code, String reason, int version, ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field, String name, String value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override;
  std::size_t on_body_impl(String bytes, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, String extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, String bytes, ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  ResponseHead head_;
  std::optional<HeadFault> fault_;
  HeadSink on_head_;
  BodySink on_body_;
  bool chunk_seen_ = false;
};

}  // namespace dockpoint::net
