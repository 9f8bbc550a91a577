#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace dockpoint {

/// Memory of the answers that a node buffers until they are complete. Single-threaded.
class AnswerBudget {
 public:
  /// Maximum size of one answer, in bytes.
  static constexpr std::size_t kAnswerBytes = 16 * 1024 * 1024;
  /// Maximum size of all buffered answers together, in bytes.
  static constexpr std::size_t kTotalBytes = 48 * 1024 * 1024;
  /// Answers up to this size are buffered even if others have used up the total, in bytes.
  static constexpr std::size_t kSmallAnswerBytes = 64 * 1024;

  /// Reserves memory for `added` more bytes of an answer that has `held` bytes so far.
  /// @return whether the answer may grow.
  bool reserve(std::size_t held, std::size_t added) {
    const std::size_t size = held + added;
    const bool fits = total_ + added <= kTotalBytes || size <= kSmallAnswerBytes;
    if (size > kAnswerBytes || !fits) {
      return false;
    }
    total_ += added;
    return true;
  }
  void release(std::size_t held) { total_ -= held; }
  std::size_t total() const { return total_; }

 private:
  std::size_t total_ = 0;
};

/// The body of an answer that is buffered, within a budget (borrowed).
class BufferedAnswer {
 public:
  explicit BufferedAnswer(AnswerBudget& budget) : budget_(budget) {}
  ~BufferedAnswer() { clear(); }
  BufferedAnswer(const BufferedAnswer&) = delete;
  BufferedAnswer& operator=(const BufferedAnswer&) = delete;

  /// @return whether the bytes were added; if not, the budget is used up.
  bool append(std::string_view bytes) {
    if (!budget_.reserve(bytes_.size(), bytes.size())) {
      return false;
    }
    bytes_.append(bytes);
    return true;
  }
  void clear() {
    budget_.release(bytes_.size());
    std::string().swap(bytes_);
  }
  const std::string& bytes() const { return bytes_; }

 private:
  AnswerBudget& budget_;
  std::string bytes_;
};

}  // namespace dockpoint
