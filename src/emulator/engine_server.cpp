#include "emulator/engine_server.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

#include <charconv>
#include <cstdlib>
#include <ostream>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"

namespace dockpoint::emulator {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaximumBodyBytes = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kLoadInterval{50};
constexpr std::chrono::milliseconds kIdleWait{20};

/// Exit status of the process after a crash triggered by a request.
constexpr int kCrashExitCode = 70;

std::uint64_t unix_microseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

int integer_header(const Poco::Net::HTTPServerRequest& request, const std::string& name) {
  const std::string text = request.get(name, "0");
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Poco::JSON::Object::Ptr choice_json(CompletionKind kind, const std::string& text, bool delta,
                                    bool finished) {
  Poco::JSON::Object::Ptr choice = new Poco::JSON::Object;
  choice->set("index", 0);
  if (kind == CompletionKind::kText) {
    choice->set("text", text);
  } else {
    Poco::JSON::Object::Ptr message = new Poco::JSON::Object;
    message->set("role", "assistant");
    message->set("content", text);
    choice->set(delta ? "delta" : "message", message);
  }
  if (finished) {
    choice->set("finish_reason", "stop");
  } else {
    choice->set("finish_reason", Poco::Dynamic::Var());
  }
  return choice;
}

Poco::JSON::Object completion_json(const CompletionRequest& completion, const std::string& id,
                                   const std::string& text, bool delta, bool finished) {
  const bool chat = completion.kind == CompletionKind::kChat;
  Poco::JSON::Object body;
  body.set("id", (chat ? "chatcmpl-" : "cmpl-") + id);
  body.set("object", !chat   ? "text_completion"
                     : delta ? "chat.completion.chunk"
                             : "chat.completion");
  body.set("created", static_cast<std::int64_t>(unix_microseconds() / 1'000'000));
  body.set("model", completion.model);
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice_json(completion.kind, text, delta, finished));
  body.set("choices", choices);
  return body;
}

}  // namespace

EngineServer::EngineServer(EngineServerOptions options)
    : options_(std::move(options)),
      incarnation_(unix_microseconds()),
      faults_({"stall", "leaving", "refuse", "cut_stream_after_tokens", "load_silent",
               "drop_cache_events_percent", "cross_answers"}),
      model_(options_.parameters),
      server_({options_.address},
              [this](auto& request, auto& response) { handle(request, response); }) {}

EngineServer::~EngineServer() {
  stop();
}

void EngineServer::start() {
  model_thread_ = std::thread([this] { run_model(); });
  server_.start();
}

void EngineServer::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  if (model_thread_.joinable()) {
    model_thread_.join();
  }
  server_.stop();
}

void EngineServer::handle(Poco::Net::HTTPServerRequest& request,
                          Poco::Net::HTTPServerResponse& response) {
  const std::string path = path_of(request.getURI());
  if (path == kChatPath || path == kTextPath) {
    complete(path == kChatPath ? CompletionKind::kChat : CompletionKind::kText, request, response);
  } else if (path == "/load") {
    if (faults_.value("load_silent") != 0) {
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
      return;
    }
    send_json(response, 200, load_json());
  } else if (path == "/cache-events") {
    send_json(response, 200, cache_events_json(request.getURI()));
  } else if (path == "/cancel") {
    cancel(query_parameter(request.getURI(), "id"));
    send_json(response, 200, "{}");
  } else if (path == "/admin/executions") {
    send_json(response, 200, executions_json());
  } else if (path == "/admin/faults") {
    const std::string body = with_error([&] { return read_request_body(request, 4096); },
                                        [](const Error&) { return std::string(); });
    const std::optional<Error> error = error_of([&] { return faults_.update(body); });
    error ? send_error(response, *error) : send_json(response, 200, "{}");
  } else {
    send_error(response, Error{ResultCode::kNotFound, "no such path", path});
  }
}

void EngineServer::complete(CompletionKind kind, Poco::Net::HTTPServerRequest& request,
                            Poco::Net::HTTPServerResponse& response) {
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(body, read_request_body(request, kMaximumBodyBytes));
    BOOST_LEAF_AUTO(completion, parse_completion_request(body, kind));
    const std::string id = request.get("x-request-id", hash128_hex(body));
    const StreamPtr stream = open_stream(completion, id, request);
    if (!stream) {
      return fail(Error{ResultCode::kEngineRefused,
                        "the engine is full or leaving",
                        {},
                        RunState::kNotRun,
                        std::chrono::seconds(1)});
    }
    crash_if_requested(completion.prompt);
    const bool crossed = faults_.value("cross_answers") != 0;
    response.set("x-request-id", crossed ? id + "-of-another" : id);
    const EngineLoad load = delayed_load();
    response.set("x-engine-load", std::to_string(load.running_online) + "," +
                                      std::to_string(load.running_batch) + "," +
                                      std::to_string(load.waiting_online) + "," +
                                      std::to_string(load.waiting_batch));
    if (completion.stream) {
      write_stream(*stream, completion, integer_header(request, "x-resume-from"), response);
    } else {
      write_whole(*stream, completion, response);
    }
    return {};
  });
  if (error && !response.sent()) {
    send_error(response, *error);
  }
}

void EngineServer::crash_if_requested(const std::string& prompt) const {
  if (!options_.crash_on.empty() && prompt.find(options_.crash_on) != std::string::npos) {
    std::_Exit(kCrashExitCode);
  }
}

EngineServer::StreamPtr EngineServer::open_stream(const CompletionRequest& completion,
                                                  const std::string& id,
                                                  Poco::Net::HTTPServerRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.has("x-resume-from")) {
    const auto known = streams_.find(id);
    if (known == streams_.end()) {
      return nullptr;
    }
    known->second->being_read = true;
    return known->second;
  }
  SequenceRequest sequence;
  sequence.id = id;
  sequence.prompt = completion.prompt;
  sequence.answer_tokens = completion.maximum_tokens > 0 ? completion.maximum_tokens
                                                         : default_answer_tokens(completion.prompt);
  sequence.batch = request.get("x-priority-class", "online") == "batch";
  sequence.priority = integer_header(request, "x-priority");
  const int answer_tokens = sequence.answer_tokens;
  const bool refuses = faults_.value("leaving") != 0 || faults_.value("refuse") != 0;
  if (refuses || streams_.contains(id) || !model_.submit(std::move(sequence))) {
    return nullptr;
  }
  auto stream = std::make_shared<Stream>();
  stream->id = id;
  const bool crossed = faults_.value("cross_answers") != 0;
  stream->prompt = crossed ? completion.prompt + " of another" : completion.prompt;
  stream->answer_tokens = answer_tokens;
  stream->being_read = true;
  streams_[id] = stream;
  ++executions_[id].started;
  changed_.notify_all();
  return stream;
}

bool EngineServer::wait_for_token(Stream& stream, int index) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [&] { return stopping_ || stream.cancelled || stream.produced > index; });
  return !stopping_ && !stream.cancelled;
}

void EngineServer::write_stream(Stream& stream, const CompletionRequest& completion, int from,
                                Poco::Net::HTTPServerResponse& response) {
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  for (int index = from; index < stream.answer_tokens; ++index) {
    const int cut_after = faults_.value("cut_stream_after_tokens");
    const bool cut = cut_after > 0 && from == 0 && index >= cut_after;
    if (cut || !wait_for_token(stream, index)) {
      release_stream(stream);
      throw Poco::IOException("stream cut");
    }
    const bool last = index + 1 == stream.answer_tokens;
    const Poco::JSON::Object chunk =
        completion_json(completion, stream.id, token_text(stream.prompt, index), true, last);
    out << "data: " << to_json(chunk) << "\n\n" << std::flush;
    if (!out.good()) {
      release_stream(stream);
      return;
    }
  }
  out << "data: [DONE]\n\n" << std::flush;
  release_stream(stream);
}

void EngineServer::write_whole(Stream& stream, const CompletionRequest& completion,
                               Poco::Net::HTTPServerResponse& response) {
  if (!wait_for_token(stream, stream.answer_tokens - 1)) {
    release_stream(stream);
    send_error(
        response,
        Error{ResultCode::kEngineRefused, "the request was cancelled", {}, RunState::kUnknown, {}});
    return;
  }
  std::string text;
  for (int index = 0; index < stream.answer_tokens; ++index) {
    text += token_text(stream.prompt, index);
  }
  Poco::JSON::Object body = completion_json(completion, stream.id, text, false, true);
  Poco::JSON::Object::Ptr usage = new Poco::JSON::Object;
  const int prompt_tokens = estimate_tokens(stream.prompt);
  usage->set("prompt_tokens", prompt_tokens);
  usage->set("completion_tokens", stream.answer_tokens);
  usage->set("total_tokens", prompt_tokens + stream.answer_tokens);
  body.set("usage", usage);
  release_stream(stream);
  send_json(response, 200, to_json(body));
}

void EngineServer::release_stream(Stream& stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  stream.being_read = false;
  stream.unread_since = SteadyClock::now();
}

void EngineServer::cancel(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = streams_.find(id);
  if (found != streams_.end()) {
    found->second->cancelled = true;
    streams_.erase(found);
  }
  model_.cancel(id);
  changed_.notify_all();
}

void EngineServer::run_model() {
  auto next_load = SteadyClock::now();
  auto step_started = SteadyClock::now();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (SteadyClock::now() >= next_load) {
      next_load = SteadyClock::now() + kLoadInterval;
      record_load();
      drop_unread_streams();
    }
    if (model_.idle() || faults_.value("stall") != 0) {
      changed_.wait_for(lock, kIdleWait);
      step_started = SteadyClock::now();
      continue;
    }
    const StepResult step = model_.step();
    // Each step starts at the scheduled end of the last one, so that sleep inaccuracy does not
    // accumulate; a delay beyond 50 ms is not made up for.
    step_started = std::max(step_started, SteadyClock::now() - std::chrono::milliseconds(50));
    step_started += step.duration;
    lock.unlock();
    std::this_thread::sleep_until(step_started);
    lock.lock();
    deliver(step);
  }
}

void EngineServer::deliver(const StepResult& step) {
  for (const TokenEvent& token : step.tokens) {
    const auto found = streams_.find(token.sequence);
    if (found == streams_.end()) {
      continue;
    }
    found->second->produced = token.index + 1;
    if (token.last) {
      found->second->finished = true;
      ++executions_[token.sequence].completed;
    }
  }
  changed_.notify_all();
}

void EngineServer::drop_unread_streams() {
  const auto now = SteadyClock::now();
  for (auto iterator = streams_.begin(); iterator != streams_.end();) {
    const Stream& stream = *iterator->second;
    const bool dropped = !stream.being_read && now - stream.unread_since > options_.resume_window;
    if (dropped) {
      model_.cancel(stream.id);
    }
    iterator = dropped ? streams_.erase(iterator) : std::next(iterator);
  }
}

void EngineServer::record_load() {
  EngineLoad load = model_.load();
  load.incarnation = incarnation_;
  load.sequence = ++load_sequence_;
  load.leaving = faults_.value("leaving") != 0;
  loads_.push_back({SteadyClock::now(), load});
  while (loads_.size() > 1 && SteadyClock::now() - loads_[1].at >= options_.report_lag) {
    loads_.pop_front();
  }
}

EngineLoad EngineServer::delayed_load() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return loads_.empty() ? EngineLoad{} : loads_.front().load;
}

std::string EngineServer::load_json() {
  const EngineLoad load = delayed_load();
  Poco::JSON::Object body;
  body.set("incarnation", load.incarnation);
  body.set("sequence", load.sequence);
  body.set("running_online", load.running_online);
  body.set("running_batch", load.running_batch);
  body.set("waiting_online", load.waiting_online);
  body.set("waiting_batch", load.waiting_batch);
  body.set("leaving", load.leaving);
  return to_json(body);
}

std::string EngineServer::cache_events_json(const std::string& uri) {
  const std::string from = query_parameter(uri, "from");
  std::uint64_t number = 0;
  std::from_chars(from.data(), from.data() + from.size(), number);
  Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const CacheEvent& event : model_.cache_events(number)) {
    if (faults_.triggers("drop_cache_events_percent")) {
      continue;
    }
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("number", event.number);
    entry->set("block", std::to_string(event.block));
    entry->set("evicted", event.evicted);
    events->add(entry);
  }
  Poco::JSON::Object body;
  body.set("events", events);
  return to_json(body);
}

std::string EngineServer::executions_json() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Poco::JSON::Object body;
  for (const auto& [id, executions] : executions_) {
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("started", executions.started);
    entry->set("completed", executions.completed);
    body.set(id, entry);
  }
  return to_json(body);
}

}  // namespace dockpoint::emulator
