#pragma once

#include <optional>
#include <string>

namespace dockpoint::net {

/// Bytes of a base64 text. @return nothing if the text is not base64.
std::optional<std::string> decode_base64(const std::string& text);

}  // namespace dockpoint::net
