// Case 7: the operator removes the route of a batch job that is open. Its items that have not run
// must still come to an end: listed as `succeeded` or as `dead_lettered`.

#include "harness_2.hpp"

namespace review {
namespace {

constexpr int kPartitions = 12;
constexpr int kNodes = 3;
constexpr int kReplicas = 3;
constexpr int kSlots = 4;
constexpr int kItems = 40;
constexpr auto kItemTime = 2s;
/// `finishS` of the pages, in milliseconds, and the route's `retentionS`.
constexpr int kFinishMs = 18000;
constexpr int kRetentionMs = 60000;
/// Twice the error of clocks that the product allows for, and time for its checks.
constexpr int kRetentionSlackMs = 14000;

Json configuration(int version, bool with_batch_route) {
  Json routes = Json::array();
  routes.push_back({{"name", "status"},
                    {"host", "review.example"},
                    {"pathPrefix", "/status/"},
                    {"type", "idempotent"},
                    {"timeoutMs", 4000},
                    {"targetMs", 300},
                    {"priority", 0},
                    {"service", "lm"},
                    {"attempts", 2}});
  if (with_batch_route) {
    routes.push_back(batch_route("notices", "/notices/", "lm"));
  }
  return {{"version", version},
          {"routeList", routes},
          {"services", {model_service("lm", kSlots)}},
          {"limits", limits()}};
}

struct Listed {
  bool readable = false;
  int succeeded = 0;
  int dead = 0;
};

Listed look(const Job& job, const Nodes& nodes, Record& record) {
  Listed listed;
  Json results;
  listed.readable = read_results(job, nodes, results);
  for (const Json& result : results) {
    (result["state"] == "succeeded" ? listed.succeeded : listed.dead) += 1;
  }
  record.line("client: reads job " + job.id + ": " + std::to_string(listed.succeeded) +
              " succeeded, " + std::to_string(listed.dead) + " dead_lettered of " +
              std::to_string(kItems));
  return listed;
}

int run() {
  const bool trouble_wanted = trouble();
  Record record(record_path());
  Folder folder;
  Store store(kPartitions);
  std::atomic<std::int64_t> last_work_ms{0};
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int number = 0; number < kReplicas; ++number) {
    replicas.push_back(std::make_unique<Replica>(
        "i-" + std::to_string(2000 + number), "lm", kSlots,
        [&](Replica& replica, const Request& request, Reply& reply) {
          const std::string item = request.header("Attempt-Id");
          record.line("replica " + replica.id() + ": begins item " + item);
          reply.send(replica.signed_head(request, 200, "OK") +
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
          const std::string last = request.header("Last-Event-Id");
          constexpr int kEvents = 10;
          for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= kEvents;
               ++event) {
            const bool sent = work(replica, std::chrono::milliseconds(kItemTime) / kEvents) &&
                              reply.chunk("id: " + std::to_string(event) + "\ndata: " + item + " " +
                                          std::to_string(event) + "\n\n");
            last_work_ms = elapsed_ms();
            if (!sent) {
              return false;
            }
          }
          record.line("replica " + replica.id() + ": finishes item " + item);
          return reply.last_chunk();
        }));
    store.publish(*replicas.back());
  }
  store.configure(configuration(1, true));
  Nodes nodes(kNodes, store.port(), kPartitions, folder.path());
  if (!nodes.wait_ready(15000)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(2s);
  Job job{"70b0000000000001", "/notices/", {}, -1};
  for (int item = 0; item < kItems; ++item) {
    job.items.push_back("17e0000000000" + std::to_string(100 + item));
  }
  const std::int64_t sent_ms = elapsed_ms();
  if (!submit(job, nodes, 0, record)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(3s);
  if (look(job, nodes, record).succeeded >= kItems) {
    return kCouldNotRun;  // Nothing is left that the removal could concern.
  }
  if (trouble_wanted) {
    store.configure(configuration(2, false));
    record.line("operator: version 2, without the route of the batch job, is acknowledged");
  }
  const std::int64_t traffic_end_ms = elapsed_ms();
  Listed listed;
  do {
    std::this_thread::sleep_for(2s);
    listed = look(job, nodes, record);
  } while (listed.succeeded + listed.dead < kItems &&
           elapsed_ms() < traffic_end_ms + 2 * kFinishMs);
  const bool in_time = listed.succeeded + listed.dead == kItems;
  const std::int64_t idle_ms = elapsed_ms() - last_work_ms;
  record.line("after " + std::to_string(elapsed_ms() - traffic_end_ms) +
              " ms: " + std::to_string(kItems - listed.succeeded - listed.dead) +
              " items listed neither way; replicas idle for " + std::to_string(idle_ms) + " ms");
  if (!in_time) {
    // Also past the time at which items may be given up.
    std::this_thread::sleep_for(std::chrono::milliseconds(
        std::max<std::int64_t>(0, sent_ms + kRetentionMs + kRetentionSlackMs - elapsed_ms())));
    listed = look(job, nodes, record);
  }
  std::cout << "succeeded " << listed.succeeded << " dead_lettered " << listed.dead << " of "
            << kItems << ", all in time: " << in_time << "\n";
  if (!listed.readable) {
    return kCouldNotRun;
  }
  constexpr int kCalmMs = 5000;
  return !in_time && idle_ms > kCalmMs ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::run_case(review::run);
}
