#include "simulation/history.hpp"

#include "dockpoint/core/hash.hpp"

namespace dockpoint::simulation {

void History::trace(TimePoint at, const std::string& line) {
  const std::string stamped = std::to_string(at.time_since_epoch().count()) + " " + line;
  digest_ = combine_hash(digest_, hash64(stamped));
  if (keeps_lines_) {
    lines_.push_back(stamped);
  }
}

std::string answer_for_prompt(const std::string& prompt) {
  constexpr std::size_t kAnswerDigits = 16;
  return "answer-" + hash128_hex(prompt).substr(0, kAnswerDigits);
}

std::string item_prompt(const std::string& file_id, std::uint32_t item) {
  return file_id + "/" + std::to_string(item);
}

}  // namespace dockpoint::simulation
