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
  std::string name;
  std::string value;
};

/// Header fields in order of appearance.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields) : fields_(fields) {}

  /// @return the value of the first field with that name, or null.
  const std::string* find(std::string_view name) const;
  /// @return the value, or an empty string.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const { return find(name) != nullptr; }

  void add(std::string name, std::string value);
  /// Replaces all fields with that name by a single one.
  void set(std::string_view name, std::string value);
  void erase(std::string_view name);
  /// Removes hop-by-hop headers, including those listed in `Connection`.
  void erase_connection_fields();

  const std::vector<HeaderField>& fields() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
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
  bool ends_with_connection = false;  ///< No content length and not chunked.
};

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
