#include <Poco/JSON/Array.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <random>
#include <thread>

#include "cli/command_context.hpp"
#include "cli/command_line.hpp"
#include "cli/exit_code.hpp"
#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/online_handler.hpp"

/// `dockpoint job submit|status|results|cancel|list|wait`.
namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kPollInterval{500};

/// Item counts of one job, as the API reports them.
struct JobProgress {
  std::string id;
  std::string status;
  long total = 0;
  long completed = 0;
  long failed = 0;

  bool ended() const { return status != "in_progress"; }
};

JobProgress read_progress(const Poco::JSON::Object::Ptr& batch) {
  JobProgress progress;
  progress.id = batch->getValue<std::string>("id");
  progress.status = batch->getValue<std::string>("status");
  const Poco::JSON::Object::Ptr counts = batch->getObject("request_counts");
  progress.total = counts->getValue<long>("total");
  progress.completed = counts->getValue<long>("completed");
  progress.failed = counts->getValue<long>("failed");
  return progress;
}

void print_progress_line(const JobProgress& progress) {
  std::printf("%s  %-11s  %ld of %ld completed, %ld failed\n", progress.id.c_str(),
              progress.status.c_str(), progress.completed, progress.total, progress.failed);
}

/// Progress output: a bar on a terminal, otherwise one line for each change.
void show_progress(const JobProgress& progress, const JobProgress& before) {
  constexpr int kWidth = 40;
  if (isatty(STDOUT_FILENO) == 0) {
    if (progress.completed != before.completed || progress.status != before.status) {
      print_progress_line(progress);
    }
    return;
  }
  const long done = progress.completed + progress.failed;
  const int filled =
      progress.total == 0 ? kWidth : static_cast<int>(done * kWidth / progress.total);
  std::printf("\r[%-*s] %ld/%ld %s ", kWidth,
              std::string(static_cast<std::size_t>(filled), '#').c_str(), done, progress.total,
              progress.status.c_str());
  if (progress.ended()) {
    std::printf("\n");
  }
  std::fflush(stdout);
}

int wait_for(const std::string& id, CommandContext& context) {
  JobProgress before;
  while (true) {
    const auto answer = request_or_report(context, "GET", "/v1/batches/" + id);
    if (!answer) {
      return kExitFailure;
    }
    const JobProgress progress = read_progress(answer->json);
    if (!context.options.json_output) {
      show_progress(progress, before);
    }
    if (progress.ended()) {
      if (context.options.json_output) {
        print_json(*answer);
      }
      return progress.status == "completed" && progress.failed == 0 ? kExitOk : kExitFailure;
    }
    before = progress;
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::string random_key() {
  std::random_device random;
  return hash128_hex(std::to_string(random()) + "-" + std::to_string(random()));
}

std::string make_batch(const CommandOptions& options, const std::string& file_id,
                       const std::string& endpoint) {
  Poco::JSON::Object::Ptr metadata = new Poco::JSON::Object;
  if (!options.selector.empty()) {
    metadata->set("dockpoint.selector", options.selector);
  }
  if (options.priority > 0) {
    metadata->set("dockpoint.priority", std::to_string(options.priority));
  }
  if (options.not_repeatable) {
    metadata->set("dockpoint.repeatable", "no");
  }
  Poco::JSON::Object batch;
  batch.set("input_file_id", file_id);
  batch.set("endpoint", endpoint);
  batch.set("completion_window", options.window);
  batch.set("metadata", metadata);
  return to_json(batch);
}

int submit(CommandContext& context) {
  if (context.options.file.empty()) {
    usage_error("--file FILE is required");
  }
  std::optional<ApiClient::Answer> uploaded;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(uploaded, context.client.upload(context.options.file));
    return {};
  });
  if (error || !uploaded->ok()) {
    return report_failure(error ? error->message : uploaded->error_text());
  }
  const std::string file_id = uploaded->json->getValue<std::string>("id");
  const std::string endpoint =
      context.arguments.empty() ? "/v1/chat/completions" : only_argument(context, "endpoint");
  const std::string key = context.options.key.empty() ? random_key() : context.options.key;
  const auto batch = request_or_report(context, "POST", "/v1/batches",
                                       make_batch(context.options, file_id, endpoint),
                                       {{kIdempotencyHeader, key}});
  if (!batch) {
    return kExitFailure;
  }
  if (context.options.wait) {
    return wait_for(batch->json->getValue<std::string>("id"), context);
  }
  if (context.options.json_output) {
    return print_json(*batch);
  }
  print_progress_line(read_progress(batch->json));
  return kExitOk;
}

int print_job_response(CommandContext& context, const std::string& method,
                       const std::string& path) {
  const auto answer = request_or_report(context, method, path);
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  print_progress_line(read_progress(answer->json));
  return kExitOk;
}

int results(CommandContext& context) {
  const std::string id = only_argument(context, "job id");
  const std::string file = (context.options.errors ? "file-error-" : "file-output-") + id;
  int status = 0;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(status, context.client.stream("GET", "/v1/files/" + file + "/content", "", {},
                                                    [](const std::string& line) {
                                                      std::printf("%s\n", line.c_str());
                                                    }));
    return {};
  });
  if (error) {
    return report_failure(error->message);
  }
  return status == 200 ? kExitOk : kExitFailure;
}

int list(CommandContext& context) {
  const auto answer = request_or_report(context, "GET", "/v1/batches?limit=100");
  if (!answer) {
    return kExitFailure;
  }
  if (context.options.json_output) {
    return print_json(*answer);
  }
  for (const Poco::JSON::Object::Ptr& batch : response_data(*answer)) {
    print_progress_line(read_progress(batch));
  }
  return kExitOk;
}

}  // namespace

int run_job_command(const std::string& action, CommandContext& context) {
  if (action == "submit") {
    return submit(context);
  }
  if (action == "list") {
    return list(context);
  }
  if (action == "results") {
    return results(context);
  }
  if (action == "wait") {
    return wait_for(only_argument(context, "job id"), context);
  }
  if (action == "status") {
    return print_job_response(context, "GET", "/v1/batches/" + only_argument(context, "job id"));
  }
  if (action == "cancel") {
    return print_job_response(context, "POST",
                              "/v1/batches/" + only_argument(context, "job id") + "/cancel");
  }
  usage_error("job takes submit, status, results, cancel, list or wait");
}

}  // namespace dockpoint
