#include "dockpoint/core/json_reader.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace dockpoint {
namespace {

std::string join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

std::string shown(const Poco::Dynamic::Var& value) {
  return value.isString() ? "\"" + value.toString() + "\"" : value.toString();
}

bool is_whole_number(const Poco::Dynamic::Var& value) {
  return value.isInteger() && !value.isBoolean();
}

}  // namespace

Result<Poco::JSON::Object::Ptr> parse_json_object(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaximumJsonDepth);
    const Poco::Dynamic::Var parsed = parser.parse(text);
    if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
      return fail(ResultCode::kMalformedBody, "a JSON object is expected");
    }
    return parsed.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& exception) {
    return fail(ResultCode::kMalformedBody, "not valid JSON: " + exception.displayText());
  } catch (const std::exception& exception) {
    return fail(ResultCode::kMalformedBody, std::string("not valid JSON: ") + exception.what());
  }
}

std::string to_json(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string error_detail_json(ResultCode code, const std::string& message) {
  Poco::JSON::Object error;
  error.set("code", static_cast<int>(code));
  error.set("type", std::string(describe(code).name));
  error.set("message", message);
  return to_json(error);
}

ObjectReader::ObjectReader(Poco::JSON::Object::Ptr object, std::string path, Problems& problems)
    : object_(std::move(object)), path_(std::move(path)), problems_(&problems) {}

bool ObjectReader::has(const std::string& key) const {
  return object_->has(key) && !object_->isNull(key);
}

Poco::Dynamic::Var ObjectReader::value(const std::string& key) {
  read_keys_.insert(key);
  return object_->get(key);
}

bool ObjectReader::require(const std::string& key) {
  if (has(key)) {
    return true;
  }
  read_keys_.insert(key);
  report(key, "is required");
  return false;
}

std::string ObjectReader::required_text(const std::string& key) {
  if (!require(key)) {
    return {};
  }
  std::string found = text(key);
  if (found.empty() && value(key).isString()) {
    report(key, "must not be empty");
  }
  return found;
}

std::string ObjectReader::text(const std::string& key, std::string fallback) {
  const Poco::Dynamic::Var found = value(key);
  if (!has(key)) {
    return fallback;
  }
  if (!found.isString()) {
    report(key, "is " + shown(found) + "; a string is expected");
    return fallback;
  }
  return found.toString();
}

std::int64_t ObjectReader::required_integer(const std::string& key, IntegerRange range) {
  return require(key) ? integer(key, range, range.minimum) : range.minimum;
}

std::int64_t ObjectReader::integer(const std::string& key, IntegerRange range,
                                   std::int64_t fallback) {
  const Poco::Dynamic::Var found = value(key);
  if (!has(key)) {
    return fallback;
  }
  const std::string allowed = "a whole number from " + std::to_string(range.minimum) + " to " +
                              std::to_string(range.maximum) + " is expected";
  if (!is_whole_number(found)) {
    report(key, "is " + shown(found) + "; " + allowed);
    return fallback;
  }
  try {
    const std::int64_t number = found.convert<std::int64_t>();
    if (number >= range.minimum && number <= range.maximum) {
      return number;
    }
  } catch (const Poco::Exception&) {
    // Too large for 64 bits: reported below like any value out of range.
  }
  report(key, "is " + shown(found) + "; " + allowed);
  return fallback;
}

double ObjectReader::number(const std::string& key, double minimum, double fallback) {
  if (!has(key)) {
    read_keys_.insert(key);
    return fallback;
  }
  const Poco::Dynamic::Var found = value(key);
  if (!found.isNumeric() || found.isBoolean()) {
    report(key, "must be a number");
    return fallback;
  }
  const double number = found.convert<double>();
  if (number < minimum) {
    report(key, "must be at least " + std::to_string(minimum));
    return fallback;
  }
  return number;
}

bool ObjectReader::boolean(const std::string& key, bool fallback) {
  const Poco::Dynamic::Var found = value(key);
  if (!has(key)) {
    return fallback;
  }
  if (!found.isBoolean()) {
    report(key, "is " + shown(found) + "; true or false is expected");
    return fallback;
  }
  return found.convert<bool>();
}

std::string ObjectReader::choice(const std::string& key, const std::vector<std::string>& allowed,
                                 std::string fallback) {
  std::string found = text(key, fallback);
  if (std::find(allowed.begin(), allowed.end(), found) != allowed.end()) {
    return found;
  }
  report(key, "is \"" + found + "\"; one of " + join(allowed) + " is expected");
  return fallback;
}

std::vector<std::string> ObjectReader::texts(const std::string& key) {
  std::vector<std::string> found;
  const Poco::Dynamic::Var raw = value(key);
  if (!has(key)) {
    return found;
  }
  if (!object_->isArray(key)) {
    report(key, "an array of strings is expected");
    return found;
  }
  for (const Poco::Dynamic::Var& element : *object_->getArray(key)) {
    if (!element.isString()) {
      report(key, "holds " + shown(element) + "; strings are expected");
      continue;
    }
    found.push_back(element.toString());
  }
  return found;
}

std::vector<ObjectReader> ObjectReader::objects(const std::string& key) {
  std::vector<ObjectReader> readers;
  read_keys_.insert(key);
  if (!has(key)) {
    return readers;
  }
  if (!object_->isArray(key)) {
    report(key, "an array of objects is expected");
    return readers;
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(key);
  for (std::size_t index = 0; index < array->size(); ++index) {
    const std::string place = place_of(key) + "[" + std::to_string(index) + "]";
    if (!array->isObject(static_cast<unsigned>(index))) {
      problems_->push_back({place, "an object is expected"});
      continue;
    }
    readers.emplace_back(array->getObject(static_cast<unsigned>(index)), place, *problems_);
  }
  return readers;
}

ObjectReader ObjectReader::object(const std::string& key) {
  read_keys_.insert(key);
  if (has(key) && !object_->isObject(key)) {
    report(key, "an object is expected");
  }
  Poco::JSON::Object::Ptr nested = object_->isObject(key) ? object_->getObject(key) : nullptr;
  if (nested.isNull()) {
    nested = new Poco::JSON::Object;
  }
  return ObjectReader(nested, place_of(key), *problems_);
}

std::vector<std::string> ObjectReader::keys() const {
  return object_->getNames();
}

void ObjectReader::reject_unknown_keys() {
  for (const std::string& key : object_->getNames()) {
    if (!read_keys_.contains(key)) {
      report(key,
             "is not a known key; known here: " + join({read_keys_.begin(), read_keys_.end()}));
    }
  }
}

void ObjectReader::report(const std::string& key, std::string message) {
  problems_->push_back({place_of(key), std::move(message)});
}

std::string ObjectReader::place_of(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

std::string summarize(const Problems& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.place + " " + problem.message;
  }
  return text;
}

}  // namespace dockpoint
