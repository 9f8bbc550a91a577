#include "http/engine_protocol.hpp"

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

/// @return whether the response body contains `{"error":{"run":"not_run"}}`.
bool reports_not_run(const std::string& body) {
  bool not_run = false;
  error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(object, parse_json_object(body));
    Problems problems;
    ObjectReader root(object, "", problems);
    not_run = root.object("error").text("run") == to_string(RunState::kNotRun);
    return {};
  });
  return not_run;
}

}  // namespace

EngineAnswer classify_answer(const HttpAnswer& answer, const std::string& request_id) {
  if (!answer.request_id.empty() && answer.request_id != request_id) {
    return EngineAnswer::kUnknown;
  }
  if (answer.status < kFirstServerError && answer.status != kTooManyRequests) {
    return EngineAnswer::kFinal;
  }
  const bool not_run = answer.status == kTooManyRequests || reports_not_run(answer.body);
  return not_run ? EngineAnswer::kNotRun : EngineAnswer::kUnknown;
}

Result<EngineLoad> parse_engine_load(const std::string& json) {
  BOOST_LEAF_AUTO(object, parse_json_object(json));
  Problems problems;
  ObjectReader reader(object, "", problems);
  const auto count = [&reader](const char* key) {
    constexpr std::int64_t kMaximumCount = 1'000'000;
    return static_cast<std::uint32_t>(reader.integer(key, {0, kMaximumCount}, 0));
  };
  EngineLoad load;
  load.incarnation = static_cast<std::uint64_t>(reader.required_integer("incarnation", {}));
  load.sequence = static_cast<std::uint64_t>(reader.required_integer("sequence", {}));
  load.running_online = count("running_online");
  load.running_batch = count("running_batch");
  load.waiting_online = count("waiting_online");
  load.waiting_batch = count("waiting_batch");
  load.leaving = reader.boolean("leaving", false);
  if (!problems.empty()) {
    return fail(ResultCode::kMalformedBody, summarize(problems), problems.front().place);
  }
  return load;
}

}  // namespace dockpoint
