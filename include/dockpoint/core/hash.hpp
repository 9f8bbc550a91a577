#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Stable hashing (XXH3). The values are part of the protocol between nodes: partitions and
/// rendezvous scores must agree on every node.
namespace dockpoint {

/// @return a 64-bit hash of `bytes`.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// A 128-bit hash.
struct Hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Hash128&) const = default;
  /// @return 32 lower-case hexadecimal digits.
  std::string hex() const;
  /// @return the hash of 32 hexadecimal digits, or nothing if the text is malformed.
  static std::optional<Hash128> parse(std::string_view text);
};

/// @return a 128-bit hash of `bytes`.
Hash128 hash128(std::string_view bytes);

/// @return the 128-bit hash of `bytes` as 32 lower-case hexadecimal digits.
std::string hash128_hex(std::string_view bytes);

/// Score of `candidate` for `key` in rendezvous hashing; the highest score wins.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

/// Mixes a value into a running hash.
std::uint64_t combine_hash(std::uint64_t seed, std::uint64_t value);

/// @return the hash mapped to a number from 0 to 1.
constexpr double fraction_of(std::uint64_t hash) {
  constexpr std::uint64_t kSteps = 1'000;
  return static_cast<double>(hash % kSteps) / static_cast<double>(kSteps);
}

}  // namespace dockpoint
