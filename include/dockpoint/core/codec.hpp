#pragma once

#include <msgpack.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

/// Encoding of typed messages and records with msgpack.
namespace dockpoint {

/// @return the bytes of any type that msgpack knows.
template <class T>
std::string pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// @return the value, or nothing if the bytes do not hold one.
template <class T>
std::optional<T> unpack(std::string_view bytes) {
  // Bounds what a malformed length field can make the decoder allocate.
  constexpr std::size_t kMaximumElements = 4 * 1024 * 1024;
  constexpr std::size_t kMaximumDepth = 32;
  try {
    const msgpack::unpack_limit limit(kMaximumElements, kMaximumElements, bytes.size(),
                                      bytes.size(), bytes.size(), kMaximumDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return handle.get().as<T>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dockpoint
