#include "gateway/record_protocol.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "net/http_message.hpp"

namespace dockpoint {
namespace {

/// Longest wait that a request may ask for.
constexpr std::int64_t kMaxReadWaitMs = 30'000;

template <class Number>
std::optional<Number> number_of(const net::Target& target, std::string_view name) {
  const std::string text = target.parameter(name).value_or("");
  Number number{};
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole =
      !text.empty() && read.ec == std::errc{} && read.ptr == text.data() + text.size();
  return whole ? std::optional(number) : std::nullopt;
}

std::vector<PassedRecord> to_passed_records(const std::vector<KeyedRecord>& records) {
  std::vector<PassedRecord> result;
  result.reserve(records.size());
  for (const KeyedRecord& record : records) {
    result.push_back({record.key, record.value, record.offset});
  }
  return result;
}

std::vector<KeyedRecord> to_keyed_records(const std::vector<PassedRecord>& records) {
  std::vector<KeyedRecord> result;
  result.reserve(records.size());
  for (const PassedRecord& record : records) {
    result.push_back({record.key, record.value, record.offset});
  }
  return result;
}

}  // namespace

std::string record_target(const RecordQuestion& question) {
  std::string target =
      fmt::format("{}?topic={}&partition={}&node={}&whole={}", kRecordsPath,
                  net::percent_encode(question.partition.topic), question.partition.partition,
                  net::percent_encode(question.node), question.whole ? 1 : 0);
  if (question.follows) {
    return target + fmt::format("&from={}&wait={}", question.from, to_ms(question.wait));
  }
  return target + fmt::format("&after={}", net::percent_encode(question.after_key));
}

std::optional<RecordQuestion> read_record_target(std::string_view target) {
  const net::Target parsed = net::Target::parse(target);
  const auto topic = parsed.parameter("topic");
  const auto node = parsed.parameter("node");
  const auto partition = number_of<int>(parsed, "partition");
  if (!topic || !node || !partition) {
    return std::nullopt;
  }
  RecordQuestion question{{*topic, *partition}, *node};
  question.whole = parsed.parameter("whole") == "1";
  if (const auto from = number_of<LogOffset>(parsed, "from")) {
    const auto wait_ms = number_of<std::int64_t>(parsed, "wait").value_or(0);
    question.follows = true;
    question.from = *from;
    question.wait = std::chrono::milliseconds(std::clamp<std::int64_t>(wait_ms, 0, kMaxReadWaitMs));
    return question;
  }
  const auto after = parsed.parameter("after");
  if (!after) {
    return std::nullopt;
  }
  question.after_key = *after;
  return question;
}

RecordAnswer answer_of(const NewestOutcome& outcome) {
  RecordAnswer answer;
  answer.records = to_passed_records(outcome.records);
  answer.end = outcome.end;
  answer.more = outcome.more;
  return answer;
}

RecordAnswer answer_of(const ReadOutcome& outcome) {
  RecordAnswer answer;
  answer.forgotten = outcome.status == LogStatus::kCompacted;
  answer.records = to_passed_records(outcome.records);
  answer.end = outcome.end;
  answer.next = outcome.next;
  return answer;
}

NewestOutcome newest_outcome_of(const RecordAnswer& answer) {
  return {LogStatus::kOk, to_keyed_records(answer.records), answer.more, answer.end,
          std::chrono::milliseconds(answer.age_ms)};
}

ReadOutcome read_outcome_of(const RecordAnswer& answer) {
  return {answer.forgotten ? LogStatus::kCompacted : LogStatus::kOk,
          to_keyed_records(answer.records), answer.end, answer.next,
          std::chrono::milliseconds(answer.age_ms)};
}

}  // namespace dockpoint
