// Case 4: replicas hand out wrong bytes to batch items: a 200 with a whole stream, but without
// `Response-Signature`. Such bytes are no answer of a replica; no result may be made of them.

#include "harness_2.hpp"

namespace review {
namespace {

constexpr int kPartitions = 12;
constexpr int kNodes = 3;
constexpr int kReplicas = 5;
constexpr int kSlots = 12;
constexpr int kEvents = 6;
constexpr int kJobs = 20;
constexpr int kItemsOfJob = 20;
/// Of the replicas, 3 in 5 spoil answers, and of theirs one in so many: 2.9 in 100.
constexpr int kSpoilingReplicas = 3;
constexpr int kSpoilEvery = 34;

std::string event(const std::string& item, int number, const std::string& what) {
  return "id: " + std::to_string(number) + "\ndata: " + what + " " + item + " " +
         std::to_string(number) + "\n\n";
}

std::string expected_text(const std::string& item) {
  std::string text;
  for (int number = 1; number <= kEvents; ++number) {
    text += (number == 1 ? "" : "\n") + ("output " + item + " " + std::to_string(number));
  }
  return text;
}

int run() {
  const bool trouble_wanted = trouble();
  Record record(record_path());
  Folder folder;
  Store store(kPartitions);
  std::atomic<int> spoiled{0};
  std::atomic<int> answered_by_spoiling{0};
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int number = 0; number < kReplicas; ++number) {
    const bool spoils = trouble_wanted && number < kSpoilingReplicas;
    replicas.push_back(std::make_unique<Replica>(
        "i-" + std::to_string(1000 + number), "lm", kSlots,
        [&, spoils](Replica& replica, const Request& request, Reply& reply) {
          const std::string item = request.header("Attempt-Id");
          const std::string last = request.header("Last-Event-Id");
          const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
          if (spoils && ++answered_by_spoiling % kSpoilEvery == kSpoilEvery / 2) {
            ++spoiled;
            record.line("replica " + replica.id() + ": unsigned bytes for item " + item);
            reply.send(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
            reply.chunk(event("nobody", first, "stray") + event("nobody", first + 1, "stray"));
            return reply.last_chunk();
          }
          record.line("replica " + replica.id() + ": runs item " + item + " from event " +
                      std::to_string(first));
          reply.send(replica.signed_head(request, 200, "OK") +
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
          for (int number_of_event = first; number_of_event <= kEvents; ++number_of_event) {
            if (!work(replica, 15ms) || !reply.chunk(event(item, number_of_event, "output"))) {
              return false;
            }
          }
          return reply.last_chunk();
        }));
    store.publish(*replicas.back());
  }
  store.configure({{"version", 1},
                   {"routeList", {batch_route("notices", "/notices/", "lm")}},
                   {"services", {model_service("lm", kSlots)}},
                   {"limits", limits()}});
  Nodes nodes(kNodes, store.port(), kPartitions, folder.path());
  if (!nodes.wait_ready(15000)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(2s);
  std::vector<Job> jobs;
  for (int number = 0; number < kJobs; ++number) {
    Job job{"70b00000000000" + std::to_string(10 + number), "/notices/", {}, -1};
    for (int item = 0; item < kItemsOfJob; ++item) {
      job.items.push_back("17e0000000" + std::to_string(100 + number) + std::to_string(100 + item));
    }
    if (!submit(job, nodes, number, record)) {
      return kCouldNotRun;
    }
    jobs.push_back(job);
  }
  int listed = 0;
  int wrong = 0;
  const std::int64_t deadline = elapsed_ms() + 40000;
  while (elapsed_ms() < deadline && listed < kJobs * kItemsOfJob) {
    std::this_thread::sleep_for(1s);
    listed = 0;
    wrong = 0;
    for (const Job& job : jobs) {
      Json results;
      if (!read_results(job, nodes, results)) {
        continue;
      }
      for (const Json& result : results) {
        ++listed;
        const std::string item = result["id"];
        if (result["state"] == "succeeded" && result["text"] != expected_text(item)) {
          ++wrong;
          record.line("client: result of item " + item + " in job " + job.id +
                      " is not its output: " + result.dump());
        }
      }
    }
  }
  record.line("listed " + std::to_string(listed) + " of " + std::to_string(kJobs * kItemsOfJob) +
              ", unsigned answers " + std::to_string(spoiled) + ", results with wrong text " +
              std::to_string(wrong));
  std::cout << "listed " << listed << " unsigned answers " << spoiled << " wrong results " << wrong
            << "\n";
  if (listed < kJobs * kItemsOfJob && wrong == 0) {
    return kCouldNotRun;
  }
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::run_case(review::run);
}
