#include "dockpoint/core/hash.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace dockpoint {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Hash128 hash128(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::string Hash128::hex() const {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return std::string(text.data(), 32);
}

std::optional<Hash128> Hash128::parse(std::string_view text) {
  constexpr std::size_t kDigits = 16;
  constexpr int kHexadecimal = 16;
  Hash128 hash;
  if (text.size() != 2 * kDigits) {
    return std::nullopt;
  }
  for (std::uint64_t* half : {&hash.high, &hash.low}) {
    const char* end = text.data() + kDigits;
    const auto result = std::from_chars(text.data(), end, *half, kHexadecimal);
    if (result.ec != std::errc{} || result.ptr != end) {
      return std::nullopt;
    }
    text.remove_prefix(kDigits);
  }
  return hash;
}

std::string hash128_hex(std::string_view bytes) {
  return hash128(bytes).hex();
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) {
  return hash64(candidate, hash64(key));
}

std::uint64_t combine_hash(std::uint64_t seed, std::uint64_t value) {
  const std::array<std::uint64_t, 2> words{seed, value};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace dockpoint
