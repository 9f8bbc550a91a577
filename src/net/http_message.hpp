#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as plain values.
namespace dockpoint::net {

/// @return whether two header names are equal, ignoring case.
bool equal_names(std::string_view left, std::string_view right);

/// One header field.
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/// Header fields in order of appearance. Their text is one block, so that many short fields cost
/// little more memory than their bytes. Views of it are valid until the next `add` or `set`.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields);

  /// @return the value of the first field with that name, if there is one.
  std::optional<std::string_view> find(std::string_view name) const;
  /// @return the value, or an empty string.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const { return find(name).has_value(); }
  /// @return the number of fields with that name.
  std::size_t count(std::string_view name) const;
  /// @return the elements of a comma-separated list that all fields with that name make up.
  std::vector<std::string> list(std::string_view name) const;

  /// @param name, value must not be views of these headers.
  void add(std::string_view name, std::string_view value);
  /// Replaces all fields with that name by a single one.
  void set(std::string_view name, std::string_view value);
  void erase(std::string_view name);
  /// Removes hop-by-hop headers, including those listed in `Connection`.
  void erase_connection_fields();

  std::size_t size() const { return fields_.size(); }
  HeaderField operator[](std::size_t index) const { return view(fields_[index]); }
  /// @return bytes of memory that the fields occupy.
  std::size_t memory_bytes() const;

 private:
  /// Where a field stands in `text_`: the value follows the name.
  struct Span {
    std::uint32_t offset = 0;
    std::uint32_t name_size = 0;
    std::uint32_t value_size = 0;
  };

  HeaderField view(const Span& span) const;

  std::string text_;
  std::vector<Span> fields_;
};

/// Start line and headers of a request.
struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;
  bool keep_alive = true;
  bool http_1_0 = false;  ///< The client knows no chunks.
};

/// Status line and headers of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  bool keep_alive = true;
  bool ends_with_connection = false;  ///< It may have a body, of unknown length and not chunked.
  bool http_1_0 = false;              ///< The server knows no chunks.
};

/// @return whether a response with that status may have a body.
bool allows_body(int status);

/// @return the standard reason phrase.
std::string_view reason_phrase(int status);

/// @return the serialized head; `head` must already contain the framing headers.
std::string serialize(const RequestHead& head);
std::string serialize(const ResponseHead& head);

/// @return `bytes` encoded as one chunk of a chunked body; empty `bytes` give the last chunk.
std::string as_chunk(std::string_view bytes);

/// Path and query of a request target.
struct Target {
  std::string path;
  std::string query;

  static Target parse(std::string_view target);
  /// @return the decoded value of a query parameter.
  std::optional<std::string> parameter(std::string_view name) const;
};

/// @return `text` with everything but unreserved characters percent-encoded.
std::string percent_encode(std::string_view text);

}  // namespace dockpoint::net
