#include "net/head_check.hpp"

#include <algorithm>
#include <string_view>

namespace dockpoint::net {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

bool is_token_character(char letter) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const bool alphanumeric = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
                            (letter >= 'A' && letter <= 'Z');
  return alphanumeric || kMarks.find(letter) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

/// @return whether the text has no control bytes; bytes above 127 are allowed.
bool is_field_text(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char letter) {
    const auto byte = static_cast<unsigned char>(letter);
    return (byte < ' ' && byte != '\t') || byte == 0x7f;
  });
}

bool has_sound_fields(const Headers& headers) {
  for (std::size_t index = 0; index < headers.size(); ++index) {
    const HeaderField field = headers[index];
    if (!is_token(field.name) || !is_field_text(field.value)) {
      return false;
    }
  }
  return true;
}

/// @return whether the fields state one length at most and no coding.
bool has_single_length(const Headers& headers) {
  return headers.count("Content-Length") <= 1 && !headers.has("Transfer-Encoding");
}

/// @return whether the text is a path, with or without a query, that ends where it seems to.
bool is_origin_form(std::string_view target) {
  return target.starts_with('/') && is_field_text(target) &&
         target.find_first_of(" \t") == std::string_view::npos;
}

/// @return whether the length of the body can be known.
bool has_known_coding(const ResponseHead& head) {
  if (!allows_body(head.status) || !head.headers.has("Transfer-Encoding")) {
    return true;
  }
  const std::vector<std::string> codings = head.headers.list("Transfer-Encoding");
  return !head.http_1_0 && codings.size() == 1 && equal_names(codings.front(), "chunked");
}

}  // namespace

const char* to_string(HeadFault fault) {
  switch (fault) {
    case HeadFault::kSyntax:
      break;
    case HeadFault::kTarget:
      return "target";
    case HeadFault::kSize:
      return "size";
    case HeadFault::kStatus:
      return "status";
    case HeadFault::kReason:
      return "reason";
    case HeadFault::kField:
      return "field";
    case HeadFault::kTransferCoding:
      return "transfer_coding";
  }
  return "syntax";
}

std::optional<HeadFault> find_fault(const ResponseHead& head) {
  if (head.status < kFirstStatus || head.status > kLastStatus ||
      head.status == kSwitchingProtocols) {
    return HeadFault::kStatus;
  }
  if (!is_field_text(head.reason)) {
    return HeadFault::kReason;
  }
  if (!has_sound_fields(head.headers)) {
    return HeadFault::kField;
  }
  if (!has_known_coding(head)) {
    return HeadFault::kTransferCoding;
  }
  return std::nullopt;
}

std::optional<HeadFault> find_fault(const RequestHead& head) {
  if (!is_token(head.method)) {
    return HeadFault::kSyntax;
  }
  if (!is_origin_form(head.target)) {
    return HeadFault::kTarget;
  }
  if (!has_sound_fields(head.headers)) {
    return HeadFault::kField;
  }
  if (!has_single_length(head.headers)) {
    return HeadFault::kTransferCoding;
  }
  return std::nullopt;
}

}  // namespace dockpoint::net
