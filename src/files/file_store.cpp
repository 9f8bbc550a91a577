#include "files/file_store.hpp"

#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <unordered_set>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/completion_request.hpp"

namespace dockpoint {
namespace {

constexpr int kFileStreams = 64;
constexpr std::size_t kChunkBytes = 256 * 1024;
constexpr std::size_t kMaximumLineBytes = 4 * 1024 * 1024;
constexpr std::size_t kCachedChunks = 32;
constexpr std::size_t kCachedManifests = 256;
constexpr std::string_view kIdPrefix = "file-";
constexpr int kAppendAttempts = 3;

struct FileAddress {
  std::string stream;
  Offset offset = 0;
};

std::string stream_name(int number) {
  return "files-" + std::to_string(number);
}

int random_stream() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return static_cast<int>(random() % kFileStreams);
}

/// Parses a file id of the form `file-STREAM-OFFSET`.
Result<FileAddress> parse_id(const std::string& id) {
  int stream = -1;
  Offset offset = 0;
  if (id.starts_with(kIdPrefix)) {
    const char* end = id.data() + id.size();
    const auto [middle, stream_error] = std::from_chars(id.data() + kIdPrefix.size(), end, stream);
    if (stream_error == std::errc{} && middle != end && *middle == '-') {
      const auto [stop, offset_error] = std::from_chars(middle + 1, end, offset);
      if (offset_error == std::errc{} && stop == end && stream >= 0 && stream < kFileStreams) {
        return FileAddress{stream_name(stream), offset};
      }
    }
  }
  return fail(ResultCode::kNotFound, "no such file: " + id, "id");
}

/// Collects lines and validates the properties that all of them must share.
class InputChecker {
 public:
  Result<void> check(const std::string& line, ItemIndex number) {
    const std::string place = "line " + std::to_string(number + 1);
    if (line.size() > kMaximumLineBytes) {
      return fail(ResultCode::kBodyTooLarge, place + " is too long", place);
    }
    std::optional<BatchFileItem> item;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(item, parse_batch_item(line));
      return {};
    });
    if (error) {
      return fail(error->code, place + ": " + error->message, place);
    }
    if (!custom_ids_.insert(hash64(item->custom_id)).second) {
      return fail(ResultCode::kInvalidField,
                  place + ": custom_id \"" + item->custom_id + "\" stands twice", place);
    }
    if (number == 0) {
      model = item->model;
      endpoint = item->url;
    }
    if (item->model != model || item->url != endpoint) {
      return fail(ResultCode::kInvalidField, place + ": all lines must have the same model and url",
                  place);
    }
    return {};
  }

  std::string model;
  std::string endpoint;

 private:
  std::unordered_set<std::uint64_t> custom_ids_;
};

}  // namespace

Result<BatchFileItem> parse_batch_item(const std::string& line) {
  BOOST_LEAF_AUTO(object, parse_json_object(line));
  Problems problems;
  ObjectReader reader(object, "", problems);
  BatchFileItem item;
  item.custom_id = reader.required_text("custom_id");
  item.method = reader.choice("method", {"POST"}, "POST");
  item.url = reader.choice("url", {std::string(kChatPath), std::string(kTextPath)}, "");
  if (!object->isObject("body")) {
    problems.push_back({"body", "an object is required"});
  }
  if (!problems.empty()) {
    return fail(ResultCode::kInvalidField, summarize(problems), problems.front().place);
  }
  item.body = to_json(*object->getObject("body"));
  const CompletionKind kind = item.url == kChatPath ? CompletionKind::kChat : CompletionKind::kText;
  BOOST_LEAF_AUTO(completion, parse_completion_request(item.body, kind));
  if (completion.stream) {
    return fail(ResultCode::kInvalidField, "body.stream must not be true in a batch",
                "body.stream");
  }
  item.model = completion.model;
  return item;
}

Result<std::string> FileStore::write(std::istream& in, const std::string& filename,
                                     std::uint64_t maximum_bytes, UnixSeconds now) {
  const int stream_number = random_stream();
  const std::string stream = stream_name(stream_number);
  FileManifest manifest;
  manifest.filename = filename;
  manifest.created_at = now;
  InputChecker checker;
  std::vector<std::string> lines;
  std::size_t chunk_bytes = 0;
  const auto flush = [&]() -> Result<void> {
    if (lines.empty()) {
      return {};
    }
    BOOST_LEAF_AUTO(offset, append(stream, pack(lines)));
    manifest.chunks.push_back(offset);
    manifest.chunk_items.push_back(manifest.items - static_cast<ItemIndex>(lines.size()));
    lines.clear();
    chunk_bytes = 0;
    return {};
  };
  for (std::string line; std::getline(in, line);) {
    manifest.bytes += line.size() + 1;
    if (manifest.bytes > maximum_bytes) {
      return fail(ResultCode::kBodyTooLarge,
                  "the file is over the limit of " + std::to_string(maximum_bytes) + " bytes");
    }
    if (line.empty() || line == "\r") {
      continue;
    }
    BOOST_LEAF_CHECK(checker.check(line, manifest.items));
    ++manifest.items;
    chunk_bytes += line.size();
    lines.push_back(std::move(line));
    if (chunk_bytes >= kChunkBytes) {
      BOOST_LEAF_CHECK(flush());
    }
  }
  BOOST_LEAF_CHECK(flush());
  if (manifest.items == 0) {
    return fail(ResultCode::kInvalidField, "the file holds no items", "file");
  }
  manifest.model = checker.model;
  manifest.endpoint = checker.endpoint;
  BOOST_LEAF_AUTO(offset, append(stream, pack(manifest)));
  return std::string(kIdPrefix) + std::to_string(stream_number) + "-" + std::to_string(offset);
}

Result<FileManifest> FileStore::manifest(const std::string& id) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto cached = manifest_cache_.find(id);
    if (cached != manifest_cache_.end()) {
      return *cached->second;
    }
  }
  BOOST_LEAF_AUTO(address, parse_id(id));
  BOOST_LEAF_AUTO(record, read_record(address.stream, address.offset));
  auto manifest = unpack<FileManifest>(record);
  if (!manifest || manifest->items == 0) {
    return fail(ResultCode::kNotFound, "no such file: " + id, "id");
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (manifest_cache_.size() >= kCachedManifests) {
    manifest_cache_.erase(manifest_cache_.begin());
  }
  manifest_cache_[id] = std::make_shared<const FileManifest>(*manifest);
  return *manifest;
}

Result<std::string> FileStore::read_line(const std::string& id, ItemIndex item) {
  BOOST_LEAF_AUTO(address, parse_id(id));
  BOOST_LEAF_AUTO(found, manifest(id));
  if (item >= found.items) {
    return fail(ResultCode::kNotFound, "the file has no item " + std::to_string(item), id);
  }
  const auto after = std::upper_bound(found.chunk_items.begin(), found.chunk_items.end(), item);
  const auto chunk = static_cast<std::size_t>(after - found.chunk_items.begin()) - 1;
  BOOST_LEAF_AUTO(lines, read_chunk(address.stream, found.chunks[chunk]));
  return lines->at(item - found.chunk_items[chunk]);
}

Result<void> FileStore::read_all(
    const std::string& id, const std::function<void(const std::vector<std::string>&)>& consume) {
  BOOST_LEAF_AUTO(address, parse_id(id));
  BOOST_LEAF_AUTO(found, manifest(id));
  for (const Offset offset : found.chunks) {
    BOOST_LEAF_AUTO(lines, read_chunk(address.stream, offset));
    consume(*lines);
  }
  return {};
}

Result<std::uint64_t> FileStore::append(const std::string& stream, const std::string& record) {
  // If the answer to an append is lost, the retry appends the chunk again; no manifest refers to
  // the first copy.
  for (int attempt = 1; attempt < kAppendAttempts; ++attempt) {
    std::optional<std::uint64_t> offset;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(offset, log_.append(stream, {record}));
      return {};
    });
    if (!error) {
      return *offset;
    }
  }
  return log_.append(stream, {record});
}

Result<std::string> FileStore::read_record(const std::string& stream, Offset offset) {
  BOOST_LEAF_AUTO(page, log_.read(stream, offset, 1, std::chrono::milliseconds(0)));
  if (page.records.empty()) {
    return fail(ResultCode::kNotFound, "no such file", "id");
  }
  return std::move(page.records.front());
}

Result<FileStore::Lines> FileStore::read_chunk(const std::string& stream, Offset offset) {
  const std::string key = stream + "/" + std::to_string(offset);
  const auto has_key = [&key](const CachedChunk& chunk) { return chunk.key == key; };
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto cached = std::find_if(chunk_cache_.begin(), chunk_cache_.end(), has_key);
    if (cached != chunk_cache_.end()) {
      chunk_cache_.splice(chunk_cache_.begin(), chunk_cache_, cached);
      return chunk_cache_.front().lines;
    }
  }
  BOOST_LEAF_AUTO(record, read_record(stream, offset));
  auto lines = unpack<std::vector<std::string>>(record);
  if (!lines) {
    return fail(ResultCode::kInternal, "a chunk of the file cannot be read", key);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  chunk_cache_.push_front({key, std::make_shared<const std::vector<std::string>>(*lines)});
  if (chunk_cache_.size() > kCachedChunks) {
    chunk_cache_.pop_back();
  }
  return chunk_cache_.front().lines;
}

}  // namespace dockpoint
