#include "dockpoint/streaming/answer_end.hpp"

namespace dockpoint {

AnswerEnd judge_answer_end(const EndedAnswer& answer) {
  if (answer.stream && answer.inside_event) {
    return AnswerEnd::kBrokenOff;
  }
  if (answer.framed) {
    return AnswerEnd::kWhole;
  }
  const bool no_event = answer.stream && answer.bytes == 0;
  return no_event ? AnswerEnd::kBrokenOff : AnswerEnd::kDoubtful;
}

const char* to_string(AnswerEnd end) {
  switch (end) {
    case AnswerEnd::kWhole:
      return "whole";
    case AnswerEnd::kBrokenOff:
      return "broken_off";
    case AnswerEnd::kDoubtful:
      return "doubtful";
  }
  return "unknown";
}

}  // namespace dockpoint
