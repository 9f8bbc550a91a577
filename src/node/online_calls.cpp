#include "node/online_calls.hpp"

namespace dockpoint {

void OnlineCommandQueue::push(OnlineCommand command) {
  const std::lock_guard<std::mutex> lock(mutex_);
  commands_.push_back(std::move(command));
  pushed_.notify_one();
}

OnlineCommand OnlineCommandQueue::wait() {
  std::unique_lock<std::mutex> lock(mutex_);
  pushed_.wait(lock, [this] { return !commands_.empty(); });
  OnlineCommand command = std::move(commands_.front());
  commands_.pop_front();
  return command;
}

OnlineCalls::Registration::Registration(OnlineCalls& calls)
    : calls_(calls),
      number_([&calls] {
        const std::lock_guard<std::mutex> lock(calls.mutex_);
        return calls.next_number_++;
      }()),
      call_(std::make_shared<OnlineCommandQueue>()) {
  const std::lock_guard<std::mutex> lock(calls_.mutex_);
  calls_.calls_[number_] = call_;
}

OnlineCalls::Registration::~Registration() {
  const std::lock_guard<std::mutex> lock(calls_.mutex_);
  calls_.calls_.erase(number_);
}

void OnlineCalls::push(RequestNumber number, OnlineCommand command) {
  std::shared_ptr<OnlineCommandQueue> call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
      return;
    }
    call = found->second;
  }
  call->push(std::move(command));
}

std::size_t OnlineCalls::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return calls_.size();
}

}  // namespace dockpoint
