#pragma once

#include <cstddef>

/// Judges whether an answer that has ended is whole.
///
/// A length or the last chunk vouches for the whole answer. An answer with neither ends with its
/// connection, which a process that crashes closes in the same good order as one that has finished.
/// Passing such an answer on with a framing of dockpoint's own would vouch for what nobody knows.
namespace dockpoint {

/// What is known of an answer when it ends.
struct EndedAnswer {
  bool framed = false;        ///< A length or the last chunk marked the end.
  bool stream = false;        ///< A stream of events.
  bool inside_event = false;  ///< The last event of the stream lacks its end.
  std::size_t bytes = 0;      ///< Received bytes of the body.
};

/// Whether an answer is whole.
enum class AnswerEnd {
  kWhole,
  kBrokenOff,  ///< Part of it is missing.
  kDoubtful,   ///< Whole if the replica's process still runs: it closed the connection on purpose.
};

/// @return the verdict on an answer that ended without an error of its connection.
AnswerEnd judge_answer_end(const EndedAnswer& answer);

/// @return the name of a verdict, for logs and metrics.
const char* to_string(AnswerEnd end);

}  // namespace dockpoint
