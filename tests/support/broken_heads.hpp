#pragma once

#include <string>
#include <vector>

/// Heads of answers that no HTTP receiver accepts (RFC 9110, RFC 9112).
namespace dockpoint::test {

/// The status line of an answer and one field of its head.
struct BrokenHead {
  std::string name;  ///< For messages of tests.
  std::string status_line = "HTTP/1.1 200 OK";
  std::string field{};  ///< Without the end of its line; empty: none.

  /// @return the head. @param fields further fields, each with the end of its line.
  std::string with(const std::string& fields) const {
    return status_line + "\r\n" + (field.empty() ? "" : field + "\r\n") + fields + "\r\n";
  }
};

/// @return heads whose status no receiver accepts.
inline std::vector<BrokenHead> heads_with_broken_status() {
  std::vector<BrokenHead> heads;
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", ""}) {
    heads.push_back({"status " + std::string(status), "HTTP/1.1 " + std::string(status) + " OK"});
  }
  heads.push_back({"switched protocols", "HTTP/1.1 101 Switching Protocols"});
  heads.push_back({"control byte in the reason", "HTTP/1.1 200 O\x01K"});
  heads.push_back({"another version", "HTTP/2.7 200 OK"});
  heads.push_back({"no version", "200 OK"});
  return heads;
}

/// @return heads with a field whose name, value or line is broken.
inline std::vector<BrokenHead> heads_with_broken_fields() {
  const std::string status = "HTTP/1.1 200 OK";
  std::vector<BrokenHead> heads = {
      {"blank in a name", status, "X Broken: yes"},
      {"tab in a name", status, "X\tBroken: yes"},
      {"control byte in a name", status, "X\x01Broken: yes"},
      {"NUL in a name", status, std::string("X\0Broken: yes", 13)},
      {"DEL in a name", status,
       "X\x7f"
       "Broken: yes"},
      {"high byte in a name", status,
       "X\xe4"
       "Broken: yes"},
      {"bracket in a name", status, "X[Broken]: yes"},
      {"empty name", status, ": yes"},
      {"no colon", status, "X-Broken"},
      {"blank before the colon", status, "X-Broken : yes"},
      {"blank before the colon of a length", status, "Content-Length : 2"},
      {"blank before the colon of a coding", status, "Transfer-Encoding : chunked"},
      {"blank in a long name", status, std::string(300, 'X') + " Y: yes"},
      {"control byte in a value", status, "X-Broken: a\x01z"},
      {"NUL in a value", status, std::string("X-Broken: a\0z", 13)},
      {"DEL in a value", status, "X-Broken: a\x7fz"},
      {"CR in a value", status, "X-Broken: a\rz"},
      {"LF as the end of a line", status, "X-Broken: a\nY: z"},
      {"lengths that differ", status, "Content-Length: 2\r\nContent-Length: 3"},
      {"length with a sign", status, "Content-Length: +2"},
      {"hexadecimal length", status, "Content-Length: 0x2"},
      {"empty length", status, "Content-Length: "},
      {"length that is too large", status, "Content-Length: 99999999999999999999999"},
      {"length and chunks", status, "Content-Length: 2\r\nTransfer-Encoding: chunked"},
  };
  return heads;
}

/// @return heads with a transfer coding other than a single `chunked`.
inline std::vector<BrokenHead> heads_with_unknown_codings() {
  const std::string status = "HTTP/1.1 200 OK";
  std::vector<BrokenHead> heads;
  for (const char* codings :
       {"chunked, gzip", "xchunked", "gzip", "gzip, chunked", "chunked, chunked", "identity",
        "chunked;q=1", "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nContent-Length: 7"}) {
    heads.push_back(
        {"coding " + std::string(codings), status, "Transfer-Encoding: " + std::string(codings)});
  }
  heads.push_back({"chunks of HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked"});
  return heads;
}

/// @return all of them.
inline std::vector<BrokenHead> broken_heads() {
  std::vector<BrokenHead> heads = heads_with_broken_status();
  for (const auto& more : {heads_with_broken_fields(), heads_with_unknown_codings()}) {
    heads.insert(heads.end(), more.begin(), more.end());
  }
  return heads;
}

}  // namespace dockpoint::test
