#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include "dockpoint/node/node_controller.hpp"
#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// @return the time of the steady clock, as used by the decision logic.
TimePoint monotonic_now();

/// @return seconds since the Unix epoch.
UnixSeconds unix_now();

/// The control thread, the only thread that accesses the `NodeController`. Other threads post
/// events and queries, which it runs one at a time.
class ControlLoop : public Part {
 public:
  using Event = std::function<void(NodeController&, TimePoint now)>;

  explicit ControlLoop(std::unique_ptr<NodeController> controller);

  /// Enqueues `event` to run on the control thread; returns immediately.
  void post(Event event);

  /// Runs `query` on the control thread and waits for the result. Must not be called from the
  /// control thread.
  template <class Query>
  auto call(Query query) -> decltype(query(std::declval<NodeController&>(), TimePoint{})) {
    using Value = decltype(query(std::declval<NodeController&>(), TimePoint{}));
    auto task =
        std::make_shared<std::packaged_task<Value(NodeController&, TimePoint)>>(std::move(query));
    std::future<Value> value = task->get_future();
    post([task](NodeController& controller, TimePoint now) { (*task)(controller, now); });
    return value.get();
  }

  void run(std::stop_token stop) override;

  std::size_t mailbox_length() const;

  /// @return CPU time consumed by the control thread.
  std::chrono::microseconds cpu_time() const { return std::chrono::microseconds(cpu_us_.load()); }

 private:
  void run_events(std::unique_lock<std::mutex>& lock);

  std::unique_ptr<NodeController> controller_;
  mutable std::mutex mutex_;
  std::condition_variable_any posted_;
  std::deque<Event> mailbox_;
  std::atomic<std::int64_t> cpu_us_{0};
};

}  // namespace dockpoint
