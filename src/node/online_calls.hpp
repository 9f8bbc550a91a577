#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <variant>

#include "dockpoint/routing/online_dispatcher.hpp"

namespace dockpoint {

/// An attempt that the control thread decided on.
struct AttemptCommand {
  EngineConfig engine;
  int priority = 0;
};

/// What a traffic thread is told to do with its request: try an engine, or end with an error.
using OnlineCommand = std::variant<AttemptCommand, Error>;

/// One online request between its traffic thread, which waits, and the control thread.
class OnlineCommandQueue {
 public:
  void push(OnlineCommand command);
  OnlineCommand wait();

 private:
  std::mutex mutex_;
  std::condition_variable pushed_;
  std::deque<OnlineCommand> commands_;
};

/// All online requests of the node by number. Thread-safe.
class OnlineCalls {
 public:
  /// Registers a call for the time that the returned registration lives.
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

  /// Passes a command on; ignored if the call has ended.
  void push(RequestNumber number, OnlineCommand command);

  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  RequestNumber next_number_ = 1;
  std::map<RequestNumber, std::shared_ptr<OnlineCommandQueue>> calls_;
};

}  // namespace dockpoint
