#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "emulator/engine_model.hpp"
#include "emulator/fault_switches.hpp"
#include "http/completion_request.hpp"
#include "http/http_server.hpp"

namespace dockpoint::emulator {

struct EngineServerOptions {
  std::string address;
  std::string name;
  EngineParameters parameters;
  std::chrono::milliseconds report_lag{200};        ///< Age of the load that `/load` reports.
  std::chrono::milliseconds resume_window{10'000};  ///< Time that an unread stream is kept.
  std::string crash_on;  ///< Prompts with this text crash the process; empty: off.
};

/// Emulates a model engine: the OpenAI-compatible completion paths, `/load`, `/cache-events`,
/// `/cancel` and `/admin/*`. One thread runs the model in real time; each connection has its own
/// thread.
class EngineServer {
 public:
  explicit EngineServer(EngineServerOptions options);
  ~EngineServer();

  void start();
  void stop();

 private:
  /// The state of a sequence that its reader needs.
  struct Stream {
    std::string id;
    std::string prompt;
    int answer_tokens = 0;
    int produced = 0;
    bool finished = false;  ///< All tokens are produced.
    bool cancelled = false;
    bool being_read = false;
    std::chrono::steady_clock::time_point unread_since;
  };
  using StreamPtr = std::shared_ptr<Stream>;
  struct TimedLoad {
    std::chrono::steady_clock::time_point at;
    EngineLoad load;
  };
  /// Counts of starts and completions of one request, for tests of at-most-once execution.
  struct Executions {
    int started = 0;
    int completed = 0;
  };

  void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void complete(CompletionKind kind, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response);
  StreamPtr open_stream(const CompletionRequest& completion, const std::string& id,
                        Poco::Net::HTTPServerRequest& request);
  void write_stream(Stream& stream, const CompletionRequest& completion, int from,
                    Poco::Net::HTTPServerResponse& response);
  void write_whole(Stream& stream, const CompletionRequest& completion,
                   Poco::Net::HTTPServerResponse& response);
  /// Exits the process without cleanup if the prompt contains `crash_on`.
  void crash_if_requested(const std::string& prompt) const;
  /// Waits for token `index`. @return false if the stream was cancelled.
  bool wait_for_token(Stream& stream, int index);
  void release_stream(Stream& stream);
  void cancel(const std::string& id);
  void run_model();
  void deliver(const StepResult& step);
  void drop_unread_streams();
  void record_load();
  EngineLoad delayed_load();
  std::string load_json();
  std::string cache_events_json(const std::string& uri);
  std::string executions_json();

  const EngineServerOptions options_;
  const std::uint64_t incarnation_;
  FaultSwitches faults_;
  std::mutex mutex_;
  std::condition_variable changed_;
  EngineModel model_;
  std::map<std::string, StreamPtr> streams_;
  std::map<std::string, Executions> executions_;
  std::deque<TimedLoad> loads_;
  std::uint64_t load_sequence_ = 0;
  bool stopping_ = false;
  std::thread model_thread_;
  HttpServer server_;
};

}  // namespace dockpoint::emulator
