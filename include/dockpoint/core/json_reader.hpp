#pragma once

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dockpoint/core/error.hpp"

/// Checked reading of JSON documents: settings, configuration and request bodies.
namespace dockpoint {

/// One fault in a document.
struct Problem {
  std::string place;    ///< Path of the key, such as `engines[3].labels`.
  std::string message;  ///< What is wrong and what is allowed.
};

using Problems = std::vector<Problem>;

/// Bounds of an integer, both inclusive.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Maximum nesting depth of a document.
inline constexpr int kMaximumJsonDepth = 32;

/// Parses `text` as one JSON object. Rejects invalid UTF-8, nesting deeper than
/// `kMaximumJsonDepth` and anything that is not an object.
Result<Poco::JSON::Object::Ptr> parse_json_object(const std::string& text);

/// Writes `object` on one line, keys in alphabetical order.
std::string to_json(const Poco::JSON::Object& object);

/// @return `{"code","message","type"}`, the error of a batch item.
std::string error_detail_json(ResultCode code, const std::string& message);

/// Reads the members of one JSON object and collects every problem instead of stopping at the
/// first. A getter that finds a problem returns the fallback.
///
/// Not thread-safe; borrows `problems`, which must outlive the reader.
class ObjectReader {
 public:
  /// @param path place of the object in its document; empty for the root.
  ObjectReader(Poco::JSON::Object::Ptr object, std::string path, Problems& problems);

  /// @return whether the key is present and not null.
  bool has(const std::string& key) const;
  bool is_object(const std::string& key) const { return object_->isObject(key); }
  bool is_array(const std::string& key) const { return object_->isArray(key); }

  std::string required_text(const std::string& key);
  std::string text(const std::string& key, std::string fallback = {});
  std::int64_t required_integer(const std::string& key, IntegerRange range);
  std::int64_t integer(const std::string& key, IntegerRange range, std::int64_t fallback);
  /// @return a number of at least `minimum`, which may have a fraction.
  double number(const std::string& key, double minimum, double fallback);
  bool boolean(const std::string& key, bool fallback);
  /// @return one of `allowed`.
  std::string choice(const std::string& key, const std::vector<std::string>& allowed,
                     std::string fallback);
  /// @return the strings of an array; empty if absent.
  std::vector<std::string> texts(const std::string& key);
  /// @return one reader per element of an array of objects; empty if absent.
  std::vector<ObjectReader> objects(const std::string& key);
  /// @return a reader of the nested object, which is empty if the key is absent.
  ObjectReader object(const std::string& key);
  /// @return the object's keys, for objects that map names to values.
  std::vector<std::string> keys() const;

  /// Reports every key that no getter has read.
  void reject_unknown_keys();

  /// Reports a problem with `key`.
  void report(const std::string& key, std::string message);

  /// @return the place of `key` in the document.
  std::string place_of(const std::string& key) const;

 private:
  Poco::Dynamic::Var value(const std::string& key);
  bool require(const std::string& key);

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  Problems* problems_;
  std::set<std::string> read_keys_;
};

/// @return the problems as one line, separated by `; `.
std::string summarize(const Problems& problems);

}  // namespace dockpoint
