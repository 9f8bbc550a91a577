#include "dockpoint/core/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace dockpoint {

std::optional<Address> Address::parse(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Address address{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  in_addr number{};
  if (error != std::errc{} || stop != end || address.port == 0 ||
      inet_pton(AF_INET, address.host.c_str(), &number) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace dockpoint
