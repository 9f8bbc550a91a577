#include "bench/forwarding_bench.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/stopwatch.hpp"
#include "http/completion_request.hpp"
#include "http/engine_stream.hpp"

namespace dockpoint::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLoadReportWait{1500};

/// Measurements of one path, direct or forwarded.
struct Measurement {
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  double seconds = 0;
  int failures = 0;
};

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

/// Engines keep the answers of finished requests for a while, so request ids must not be reused.
const std::string& unique_run_id() {
  static const std::string run =
      "bench-" + std::to_string(SteadyClock::now().time_since_epoch().count());
  return run;
}

/// Sends one request and records its timings. @return true if the answer was complete.
bool send_one(HttpSessionPool& sessions, const std::string& address,
              const ForwardingOptions& options, int number, Measurement& measured,
              std::mutex& mutex) {
  HttpExchange request;
  request.method = "POST";
  request.path = kChatPath;
  request.timeout = std::chrono::seconds(60);
  request.body = R"({"model":")" + options.model + R"(","stream":true,"max_tokens":)" +
                 std::to_string(options.tokens) +
                 R"(,"messages":[{"role":"user","content":"bench )" + std::to_string(number) +
                 R"("}]})";
  const auto started = SteadyClock::now();
  EngineStream stream(sessions, address);
  const std::string id = unique_run_id() + "-" + address + "-" + std::to_string(number);
  if (stream.open(request, id) != EngineStream::Status::kOk) {
    return false;
  }
  std::vector<double> times;
  std::string data;
  EngineStream::Status status = EngineStream::Status::kOk;
  while ((status = stream.next(data)) == EngineStream::Status::kOk) {
    times.push_back(milliseconds_since(started));
  }
  if (status != EngineStream::Status::kEnd || times.empty()) {
    return false;
  }
  stream.close();
  const std::lock_guard<std::mutex> lock(mutex);
  measured.first_token_ms.push_back(times.front());
  for (std::size_t index = 1; index < times.size(); ++index) {
    measured.token_gap_ms.push_back(times[index] - times[index - 1]);
  }
  return true;
}

void run_round(const std::string& address, const ForwardingOptions& options, int first,
               Measurement& measured) {
  HttpSessionPool sessions(std::chrono::seconds(60));
  std::mutex mutex;
  std::atomic<int> next{first};
  std::atomic<int> failures{0};
  const int last = first + options.requests / options.rounds;
  const auto started = SteadyClock::now();
  {
    std::vector<std::jthread> senders;
    senders.reserve(static_cast<std::size_t>(options.streams));
    for (int index = 0; index < options.streams; ++index) {
      senders.emplace_back([&] {
        for (int number = next++; number < last; number = next++) {
          failures += send_one(sessions, address, options, number, measured, mutex) ? 0 : 1;
        }
      });
    }
  }
  measured.seconds += milliseconds_since(started) / 1000;
  measured.failures += failures;
}

/// Reads the node's total CPU seconds from its metrics.
Result<double> node_cpu_seconds(const std::string& node) {
  constexpr std::string_view kName = "dockpoint_process_cpu_seconds_total ";
  HttpSessionPool sessions(std::chrono::seconds(5));
  HttpExchange request;
  request.address = node;
  request.path = "/metrics";
  const HttpOutcome outcome = exchange(sessions, request);
  if (!outcome.answer) {
    return fail(ResultCode::kPeerUnreachable, node + " does not answer: " + outcome.failure.reason);
  }
  std::istringstream lines(outcome.answer->body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(kName)) {
      return std::stod(line.substr(kName.size()));
    }
  }
  return fail(ResultCode::kNotFound, "the metrics of the node contain no CPU time");
}

void print_row(const char* name, const Measurement& measured) {
  const auto requests = static_cast<double>(measured.first_token_ms.size());
  std::printf("%-14s %8.0f %9d %10.1f %10.2f %10.2f %10.2f %10.2f\n", name, requests,
              measured.failures, requests / measured.seconds,
              percentile(measured.first_token_ms, 0.5), percentile(measured.first_token_ms, 0.99),
              percentile(measured.token_gap_ms, 0.5), percentile(measured.token_gap_ms, 0.99));
}

}  // namespace

Result<void> run_forwarding_bench(const ForwardingOptions& options) {
  Measurement direct;
  Measurement forwarded;
  Measurement warm_up;
  run_round(options.node, options, -options.requests, warm_up);
  run_round(options.engine, options, -2 * options.requests, warm_up);
  double cpu = 0;
  for (int round = 0; round < options.rounds; ++round) {
    const int first = round * options.requests / options.rounds;
    run_round(options.engine, options, first, direct);
    // The node learns of direct requests only from delayed load reports. Without this pause it
    // would still count them against the free slots.
    std::this_thread::sleep_for(kLoadReportWait);
    BOOST_LEAF_AUTO(before, node_cpu_seconds(options.node));
    run_round(options.node, options, first, forwarded);
    BOOST_LEAF_AUTO(after, node_cpu_seconds(options.node));
    cpu += after - before;
  }
  std::printf("%-14s %8s %9s %10s %10s %10s %10s %10s\n", "way", "requests", "failures",
              "requests/s", "ttft p50", "ttft p99", "gap p50", "gap p99");
  print_row("direct", direct);
  print_row("through node", forwarded);
  const auto requests = static_cast<double>(forwarded.first_token_ms.size());
  std::printf(
      "first token, through the node minus direct: median %.3f ms, p99 %.3f ms\n"
      "node CPU: %.3f ms a request, %.1f us a token (%d tokens a request)\n",
      percentile(forwarded.first_token_ms, 0.5) - percentile(direct.first_token_ms, 0.5),
      percentile(forwarded.first_token_ms, 0.99) - percentile(direct.first_token_ms, 0.99),
      1000 * cpu / requests, 1e6 * cpu / requests / options.tokens, options.tokens);
  return {};
}

}  // namespace dockpoint::bench
