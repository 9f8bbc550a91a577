#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <variant>

#include "dockpoint/routing/online_dispatcher.hpp"

namespace dockpoint {

/// An attempt that the control thread has scheduled.
struct AttemptCommand {
  EngineConfig engine;
  int priority = 0;
};

/// Command to a traffic thread: try an engine, or end the request with an error.
using OnlineCommand = std::variant<AttemptCommand, Error>;

/// Hands commands for one online request from the control thread to the waiting traffic thread.
class OnlineCommandQueue {
 public:
  void push(OnlineCommand command);
  OnlineCommand wait();

 private:
  std::mutex mutex_;
  std::condition_variable pushed_;
  std::deque<OnlineCommand> commands_;
};

/// Online requests in progress on this node, by request number. Thread-safe.
class OnlineCalls {
 public:
  /// Registers a call for the lifetime of the returned registration.
  class Registration {
   public:
    explicit Registration(OnlineCalls& calls);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    RequestNumber number() const { return number_; }
    OnlineCommandQueue& call() { return *call_; }

   private:
    OnlineCalls& calls_;
    const RequestNumber number_;
    std::shared_ptr<OnlineCommandQueue> call_;
  };

  /// Delivers a command to its call; ignored if the call has ended.
  void push(RequestNumber number, OnlineCommand command);

  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  RequestNumber next_number_ = 1;
  std::map<RequestNumber, std::shared_ptr<OnlineCommandQueue>> calls_;
};

}  // namespace dockpoint
