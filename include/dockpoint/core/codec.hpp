#pragma once

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

/// Encoding of typed messages and records as MessagePack.
///
/// A struct lists its fields with `DOCKPOINT_FIELDS` and travels as an array of them. A newer
/// version may append fields: older readers ignore them, and newer readers leave absent ones at
/// their defaults.
///
/// The bytes are written and read by nlohmann-json: Debian's msgpack-c depends on Boost 1.74, which
/// cannot be installed beside the Boost 1.81 that holds LEAF.
#define DOCKPOINT_FIELDS(...)     \
  auto fields() {                 \
    return std::tie(__VA_ARGS__); \
  }                               \
  auto fields() const {           \
    return std::tie(__VA_ARGS__); \
  }

namespace dockpoint {

/// Maximum nesting depth of a decoded value.
inline constexpr int kMaximumCodecDepth = 32;

namespace codec_detail {

using Value = nlohmann::json;

template <class T>
concept Struct = requires(T& value) {
  value.fields();
};

template <class T>
struct Converter;

template <class T>
Value to_value(const T& value) {
  return Converter<T>::to(value);
}

template <class T>
T from_value(const Value& value) {
  return Converter<T>::from(value);
}

/// Converts numbers, booleans, strings, enumerations and structs.
template <class T>
struct Converter {
  static Value to(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<std::underlying_type_t<T>>(value);
    } else if constexpr (Struct<T>) {
      return std::apply([](const auto&... field) { return Value::array({to_field(field)...}); },
                        value.fields());
    } else {
      return value;
    }
  }
  static T from(const Value& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<T>(value.get<std::underlying_type_t<T>>());
    } else if constexpr (Struct<T>) {
      return struct_from(value);
    } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
      if (!value.is_number_integer()) {
        throw std::invalid_argument("not an integer");
      }
      return value.get<T>();
    } else {
      return value.get<T>();
    }
  }

 private:
  template <class Field>
  static Value to_field(const Field& field) {
    return to_value(field);
  }
  static T struct_from(const Value& value) {
    if (!value.is_array()) {
      throw std::invalid_argument("not an array");
    }
    T result{};
    std::size_t index = 0;
    std::apply([&](auto&... field) { (read_field(value, index, field), ...); }, result.fields());
    return result;
  }
  template <class Field>
  static void read_field(const Value& value, std::size_t& index, Field& field) {
    if (index < value.size()) {
      field = from_value<Field>(value[index]);
    }
    ++index;
  }
};

/// Converts vectors and deques.
template <class Sequence>
struct SequenceConverter {
  static Value to(const Sequence& sequence) {
    Value result = Value::array();
    for (const auto& element : sequence) {
      result.push_back(to_value(element));
    }
    return result;
  }
  static Sequence from(const Value& value) {
    if (!value.is_array()) {
      throw std::invalid_argument("not an array");
    }
    Sequence result;
    for (const Value& element : value) {
      result.push_back(from_value<typename Sequence::value_type>(element));
    }
    return result;
  }
};

template <class T>
struct Converter<std::vector<T>> : SequenceConverter<std::vector<T>> {};
template <class T>
struct Converter<std::deque<T>> : SequenceConverter<std::deque<T>> {};

/// Converts maps, encoded as an array of pairs so that keys may have any type.
template <class Key, class T>
struct Converter<std::map<Key, T>> {
  static Value to(const std::map<Key, T>& map) {
    Value result = Value::array();
    for (const auto& [key, value] : map) {
      Value pair = Value::array();
      pair.push_back(to_value(key));
      pair.push_back(to_value(value));
      result.push_back(std::move(pair));
    }
    return result;
  }
  static std::map<Key, T> from(const Value& value) {
    std::map<Key, T> result;
    for (const Value& pair : value) {
      result.emplace(from_value<Key>(pair.at(0)), from_value<T>(pair.at(1)));
    }
    return result;
  }
};

template <class... T>
struct Converter<std::tuple<T...>> {
  static Value to(const std::tuple<T...>& tuple) {
    return std::apply([](const auto&... field) { return Value::array({to_value(field)...}); },
                      tuple);
  }
};

/// Rejects too deep nesting before the recursive decoder runs.
class DepthGuard : public nlohmann::json_sax<Value> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override { return ++depth_ <= kMaximumCodecDepth; }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t /*size*/) override { return ++depth_ <= kMaximumCodecDepth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int depth_ = 0;
};

}  // namespace codec_detail

/// @return the bytes of a value whose parts are numbers, text, sequences, maps and structs with
/// `DOCKPOINT_FIELDS`.
template <class T>
std::string pack(const T& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(codec_detail::to_value(value), bytes);
  return bytes;
}

/// @return the value, or nothing if the bytes do not hold one.
template <class T>
std::optional<T> unpack(std::string_view bytes) {
  try {
    codec_detail::DepthGuard guard;
    if (!nlohmann::json::sax_parse(bytes, &guard, nlohmann::json::input_format_t::msgpack)) {
      return std::nullopt;
    }
    return codec_detail::from_value<T>(nlohmann::json::from_msgpack(bytes));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dockpoint
