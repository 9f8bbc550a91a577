#pragma once

#include <atomic>
#include <cstdint>

/// Bounds the memory of the bodies of requests, and of those of answers, that a daemon holds.
namespace dockpoint {

/// Bytes that all threads together may hold. Thread-safe.
class BodyBudget {
 public:
  explicit BodyBudget(std::uint64_t limit_bytes) : limit_(limit_bytes) {}

  /// @return whether `bytes` were reserved.
  bool reserve(std::uint64_t bytes) {
    if (held_.fetch_add(bytes) + bytes <= limit_) {
      return true;
    }
    held_.fetch_sub(bytes);
    return false;
  }
  void release(std::uint64_t bytes) { held_.fetch_sub(bytes); }
  std::uint64_t held() const { return held_; }

 private:
  const std::uint64_t limit_;
  std::atomic<std::uint64_t> held_{0};
};

/// What one body holds of a budget, until it is given up. Not thread-safe.
class BodyReservation {
 public:
  explicit BodyReservation(BodyBudget& budget) : budget_(budget) {}
  ~BodyReservation() { budget_.release(bytes_); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// @return whether the reservation holds `bytes` in all.
  bool grow_to(std::uint64_t bytes) {
    if (bytes <= bytes_) {
      return true;
    }
    if (!budget_.reserve(bytes - bytes_)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }

 private:
  BodyBudget& budget_;
  std::uint64_t bytes_ = 0;
};

}  // namespace dockpoint
