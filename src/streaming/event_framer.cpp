#include "dockpoint/streaming/event_framer.hpp"

#include <algorithm>
#include <charconv>

namespace dockpoint {
namespace {

/// @return the end of the first event in `bytes`, including its empty line, or npos.
std::size_t end_of_event(std::string_view bytes, std::size_t search_from) {
  for (std::size_t newline = bytes.find('\n', search_from); newline != std::string_view::npos;
       newline = bytes.find('\n', newline + 1)) {
    if (bytes.substr(newline + 1, 1) == "\n") {
      return newline + 2;
    }
    if (bytes.substr(newline + 1, 2) == "\r\n") {
      return newline + 3;
    }
  }
  return std::string_view::npos;
}

/// @return the value of a field line, without one optional leading space.
std::string_view value_after(std::string_view line, std::size_t colon) {
  line.remove_prefix(std::min(colon + 1, line.size()));
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

StreamEvent parse_event(std::string_view bytes) {
  StreamEvent event{bytes, std::nullopt, {}, false};
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const std::size_t newline = std::min(rest.find('\n'), rest.size());
    std::string_view line = rest.substr(0, newline);
    rest.remove_prefix(std::min(newline + 1, rest.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = value_after(line, colon);
    if (name == "data") {
      event.data += event.has_data ? "\n" : "";
      event.data += value;
      event.has_data = true;
    } else if (name == "id") {
      std::uint64_t number = 0;
      const auto result = std::from_chars(value.data(), value.data() + value.size(), number);
      if (result.ec == std::errc{}) {
        event.id = number;
      }
    }
  }
  return event;
}

}  // namespace

void EventFramer::feed(std::string_view bytes, const Sink& sink) {
  // The empty line that ends an event can be split between two calls.
  constexpr std::size_t kOverlap = 3;
  std::size_t search_from = partial_.size() > kOverlap ? partial_.size() - kOverlap : 0;
  partial_.append(bytes);
  std::size_t start = 0;
  while (true) {
    const std::size_t end = end_of_event(partial_, std::max(start, search_from));
    if (end == std::string::npos) {
      break;
    }
    sink(parse_event(std::string_view(partial_).substr(start, end - start)));
    start = end;
    search_from = end;
  }
  partial_.erase(0, start);
}

}  // namespace dockpoint
