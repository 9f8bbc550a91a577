#include "net/http_message.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace dockpoint::net {
namespace {

constexpr std::array<std::string_view, 8> kConnectionFields = {
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",
    "Transfer-Encoding", "Trailer",    "Upgrade",          "Content-Length"};

char lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// Appends the elements of a comma-separated list; empty ones are left out.
void append_elements(std::vector<std::string>& elements, std::string_view list) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view element = trim(list.substr(0, comma));
    if (!element.empty()) {
      elements.emplace_back(element);
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

void append_fields(std::string& bytes, const Headers& headers) {
  for (std::size_t index = 0; index < headers.size(); ++index) {
    const HeaderField field = headers[index];
    bytes += field.name;
    bytes += ": ";
    bytes += field.value;
    bytes += "\r\n";
  }
  bytes += "\r\n";
}

}  // namespace

bool equal_names(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char one, char other) { return lower(one) == lower(other); });
}

Headers::Headers(std::initializer_list<HeaderField> fields) {
  for (const HeaderField& field : fields) {
    add(field.name, field.value);
  }
}

HeaderField Headers::view(const Span& span) const {
  const std::string_view text = text_;
  return {text.substr(span.offset, span.name_size),
          text.substr(span.offset + span.name_size, span.value_size)};
}

std::optional<std::string_view> Headers::find(std::string_view name) const {
  for (const Span& span : fields_) {
    const HeaderField field = view(span);
    if (equal_names(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::string_view Headers::get(std::string_view name) const {
  return find(name).value_or(std::string_view{});
}

std::size_t Headers::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields_.begin(), fields_.end(),
                    [&](const Span& span) { return equal_names(view(span).name, name); }));
}

std::vector<std::string> Headers::list(std::string_view name) const {
  std::vector<std::string> elements;
  for (const Span& span : fields_) {
    const HeaderField field = view(span);
    if (equal_names(field.name, name)) {
      append_elements(elements, field.value);
    }
  }
  return elements;
}

void Headers::add(std::string_view name, std::string_view value) {
  fields_.push_back({static_cast<std::uint32_t>(text_.size()),
                     static_cast<std::uint32_t>(name.size()),
                     static_cast<std::uint32_t>(value.size())});
  text_ += name;
  text_ += value;
}

void Headers::set(std::string_view name, std::string_view value) {
  erase(name);
  add(name, value);
}

void Headers::erase(std::string_view name) {
  std::erase_if(fields_, [&](const Span& span) { return equal_names(view(span).name, name); });
}

std::size_t Headers::memory_bytes() const {
  return text_.capacity() + fields_.capacity() * sizeof(Span);
}

void Headers::erase_connection_fields() {
  for (const std::string& name : list("Connection")) {
    erase(name);
  }
  for (const std::string_view name : kConnectionFields) {
    erase(name);
  }
}

bool allows_body(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status / 100 != 1 && status != kNoContent && status != kNotModified;
}

std::string_view reason_phrase(int status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::string serialize(const RequestHead& head) {
  std::string bytes;
  bytes.reserve(512);
  bytes += head.method;
  bytes += ' ';
  bytes += head.target;
  bytes += " HTTP/1.1\r\n";
  append_fields(bytes, head.headers);
  return bytes;
}

std::string serialize(const ResponseHead& head) {
  std::string bytes;
  bytes.reserve(512);
  bytes += "HTTP/1.1 ";
  bytes += std::to_string(head.status);
  bytes += ' ';
  bytes += head.reason.empty() ? reason_phrase(head.status) : std::string_view(head.reason);
  bytes += "\r\n";
  append_fields(bytes, head.headers);
  return bytes;
}

std::string as_chunk(std::string_view bytes) {
  return bytes.empty() ? std::string("0\r\n\r\n")
                       : fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

Target Target::parse(std::string_view target) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) {
    return {std::string(target), {}};
  }
  return {std::string(target.substr(0, question)), std::string(target.substr(question + 1))};
}

std::optional<std::string> Target::parameter(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      std::string decoded;
      try {
        Poco::URI::decode(std::string(pair.substr(std::min(equals + 1, pair.size()))), decoded,
                          true);
      } catch (const Poco::Exception&) {
        return std::nullopt;
      }
      return decoded;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

std::string percent_encode(std::string_view text) {
  std::string encoded;
  Poco::URI::encode(std::string(text), "!#$&'()*+,/:;=?@[]", encoded);
  return encoded;
}

}  // namespace dockpoint::net
