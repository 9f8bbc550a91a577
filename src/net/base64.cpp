#include "net/base64.hpp"

#include <Poco/Base64Decoder.h>

#include <array>
#include <sstream>

namespace dockpoint::net {

std::optional<std::string> decode_base64(const std::string& text) {
  std::istringstream input(text);
  Poco::Base64Decoder decoder(input);
  std::string bytes;
  std::array<char, 4096> buffer{};
  while (decoder.read(buffer.data(), buffer.size()) || decoder.gcount() > 0) {
    bytes.append(buffer.data(), static_cast<std::size_t>(decoder.gcount()));
  }
  return decoder.bad() ? std::nullopt : std::optional(bytes);
}

}  // namespace dockpoint::net
