#include "node/control_loop.hpp"

#include <spdlog/spdlog.h>
#include <time.h>

#include "net/clock.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kTickInterval{25};

std::int64_t thread_cpu_us() {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return used.tv_sec * kMicrosecondsPerSecond + used.tv_nsec / kNanosecondsPerMicrosecond;
}

}  // namespace

TimePoint monotonic_now() {
  return net::steady_now();
}

UnixSeconds unix_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

ControlLoop::ControlLoop(std::unique_ptr<NodeController> controller)
    : Part("control"), controller_(std::move(controller)) {}

void ControlLoop::post(Event event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  mailbox_.push_back(std::move(event));
  posted_.notify_one();
}

void ControlLoop::run(std::stop_token stop) {
  auto next_tick = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop.stop_requested()) {
    posted_.wait_until(lock, stop, next_tick, [this] { return !mailbox_.empty(); });
    run_events(lock);
    if (std::chrono::steady_clock::now() >= next_tick) {
      next_tick = std::chrono::steady_clock::now() + kTickInterval;
      lock.unlock();
      controller_->tick(monotonic_now(), unix_now());
      cpu_us_ = thread_cpu_us();
      lock.lock();
    }
  }
}

void ControlLoop::run_events(std::unique_lock<std::mutex>& lock) {
  std::deque<Event> events;
  events.swap(mailbox_);
  lock.unlock();
  for (const Event& event : events) {
    try {
      event(*controller_, monotonic_now());
    } catch (const std::exception& exception) {
      spdlog::error("control: Event handler threw an exception; reason={}", exception.what());
    }
  }
  lock.lock();
}

std::size_t ControlLoop::mailbox_length() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return mailbox_.size();
}

}  // namespace dockpoint
