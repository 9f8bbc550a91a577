#include "http/batch_request.hpp"

#include <algorithm>

#include "dockpoint/config/selector.hpp"
#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/completion_request.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumMetadata = 16;

/// Metadata keys that set job options; see docs/API.md.
constexpr const char* kSelectorKey = "dockpoint.selector";
constexpr const char* kPriorityKey = "dockpoint.priority";
constexpr const char* kRepeatableKey = "dockpoint.repeatable";

/// Parses a duration such as `24h`, `90m` or `30s`.
/// @return seconds, or 0 if the text is invalid or exceeds the maximum.
std::int64_t parse_window(const std::string& text) {
  constexpr std::int64_t kMaximumWindowSeconds = 14 * 24 * 3600;
  if (text.size() < 2 || text.size() > 8 ||
      !std::all_of(text.begin(), text.end() - 1, [](char c) { return c >= '0' && c <= '9'; })) {
    return 0;
  }
  const std::int64_t number = std::stoll(text);
  const std::int64_t unit = text.back() == 'h'   ? 3600
                            : text.back() == 'm' ? 60
                            : text.back() == 's' ? 1
                                                 : 0;
  const std::int64_t seconds = number * unit;
  return seconds <= kMaximumWindowSeconds ? seconds : 0;
}

std::map<std::string, std::string> read_metadata(ObjectReader reader, Problems& problems) {
  std::map<std::string, std::string> metadata;
  for (const std::string& key : reader.keys()) {
    metadata[key] = reader.text(key);
  }
  if (metadata.size() > kMaximumMetadata) {
    problems.push_back({"metadata", "has more than 16 keys"});
  }
  return metadata;
}

/// Sets the job options from dockpoint's own metadata keys.
void read_job_options(JobSpec& job, Problems& problems) {
  const auto value = [&job](const char* key, const std::string& fallback) {
    const auto found = job.metadata.find(key);
    return found == job.metadata.end() ? fallback : found->second;
  };
  const std::string repeatable = value(kRepeatableKey, "yes");
  if (repeatable != "yes" && repeatable != "no") {
    problems.push_back({"metadata.dockpoint.repeatable", "must be yes or no"});
  }
  job.repeatable = repeatable == "yes";
  const std::string priority = value(kPriorityKey, "0");
  if (priority.empty() || priority.size() > 3 ||
      !std::all_of(priority.begin(), priority.end(), [](char c) { return c >= '0' && c <= '9'; }) ||
      std::stoi(priority) > 100) {
    problems.push_back({"metadata.dockpoint.priority", "must be a whole number from 0 to 100"});
  } else {
    job.priority = std::stoi(priority);
  }
  job.selector = value(kSelectorKey, "");
  if (job.selector.empty()) {
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(object, parse_json_object(job.selector));
    Selector::read(ObjectReader(object, "metadata.dockpoint.selector", problems));
    return {};
  });
  if (error) {
    problems.push_back({"metadata.dockpoint.selector", error->message});
  }
}

}  // namespace

Result<JobSpec> parse_batch_request(const std::string& body) {
  BOOST_LEAF_AUTO(object, parse_json_object(body));
  Problems problems;
  ObjectReader reader(object, "", problems);
  JobSpec job;
  job.input_file_id = reader.required_text("input_file_id");
  job.endpoint = reader.choice("endpoint", {std::string(kChatPath), std::string(kTextPath)}, "");
  job.completion_window = reader.text("completion_window", "24h");
  const std::int64_t window = parse_window(job.completion_window);
  if (window == 0) {
    reader.report("completion_window", "must be a time such as 24h, 90m or 30s, up to 336h");
  }
  job.metadata = read_metadata(reader.object("metadata"), problems);
  read_job_options(job, problems);
  if (!problems.empty()) {
    return fail(ResultCode::kInvalidField, summarize(problems), problems.front().place);
  }
  job.created_at = unix_now();
  job.deadline = job.created_at + window;
  job.content_digest = hash128_hex(body);
  return job;
}

}  // namespace dockpoint
