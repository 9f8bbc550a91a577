// Case 8: the only replica of one model is lost. Batch jobs for another model, whose replicas are
// well and idle, must still be done.

#include "harness_2.hpp"

namespace review {
namespace {

constexpr int kPartitions = 12;
constexpr int kNodes = 3;
constexpr int kReplicas = 3;
constexpr int kSlots = 8;
constexpr int kJobs = 12;
constexpr int kItemsOfJob = 5;
constexpr int kEvents = 5;
constexpr int kFinishMs = 18000;

int run() {
  const bool trouble_wanted = trouble();
  Record record(record_path());
  Folder folder;
  Store store(kPartitions);
  std::atomic<std::int64_t> last_work_ms{0};
  const auto handler = [&](Replica& replica, const Request& request, Reply& reply) {
    const std::string item = request.header("Attempt-Id");
    record.line("replica " + replica.id() + " of " + replica.service() + ": runs item " + item);
    reply.send(replica.signed_head(request, 200, "OK") +
               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string last = request.header("Last-Event-Id");
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= kEvents; ++event) {
      const bool sent = work(replica, 40ms) &&
                        reply.chunk("id: " + std::to_string(event) + "\ndata: " + item + "\n\n");
      last_work_ms = elapsed_ms();
      if (!sent) {
        return false;
      }
    }
    return reply.last_chunk();
  };
  std::vector<std::unique_ptr<Replica>> replicas;
  // The larger model has a single replica.
  for (const char* service : {"lm-small", "lm-large"}) {
    for (int number = 0; number < (service == std::string("lm-small") ? kReplicas : 1); ++number) {
      replicas.push_back(std::make_unique<Replica>(
          "i-" + std::string(service) + "-" + std::to_string(number), service, kSlots, handler));
      store.publish(*replicas.back());
    }
  }
  store.configure(
      {{"version", 1},
       {"routeList",
        {batch_route("notices", "/notices/", "lm-small"),
         batch_route("reports", "/reports/", "lm-large")}},
       {"services", {model_service("lm-small", kSlots), model_service("lm-large", kSlots)}},
       {"limits", limits()}});
  Nodes nodes(kNodes, store.port(), kPartitions, folder.path());
  if (!nodes.wait_ready(15000)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(2s);
  if (trouble_wanted) {
    for (const auto& replica : replicas) {
      if (replica->service() == "lm-large") {
        replica->crash();
        store.remove(*replica);
        record.line("replica " + replica->id() + " of " + replica->service() +
                    ": lost for good, its entry goes");
      }
    }
    std::this_thread::sleep_for(1s);
  }
  const auto submit_jobs = [&](const std::string& path, const std::string& prefix,
                               std::vector<Job>& jobs) {
    for (int number = 0; number < kJobs; ++number) {
      Job job{prefix + "000000000000" + std::to_string(10 + number), path, {}, -1};
      for (int item = 0; item < kItemsOfJob; ++item) {
        job.items.push_back("17e" + prefix + std::to_string(100 + number) +
                            std::to_string(1000 + item));
      }
      if (!submit(job, nodes, number, record)) {
        return false;
      }
      jobs.push_back(job);
    }
    return true;
  };
  std::vector<Job> reports;
  std::vector<Job> notices;
  if (!submit_jobs("/reports/", "7e", reports) || !submit_jobs("/notices/", "70", notices)) {
    return kCouldNotRun;
  }
  const std::int64_t traffic_end_ms = elapsed_ms();
  int listed = 0;
  bool readable = true;
  do {
    std::this_thread::sleep_for(2s);
    listed = 0;
    readable = true;
    for (const Job& job : notices) {
      Json results;
      readable = read_results(job, nodes, results) && readable;
      listed += static_cast<int>(results.size());
    }
    record.line("client: " + std::to_string(listed) + " of " + std::to_string(kJobs * kItemsOfJob) +
                " items for lm-small are listed");
  } while (listed < kJobs * kItemsOfJob && elapsed_ms() < traffic_end_ms + kFinishMs + 2000);
  const std::int64_t idle_ms = elapsed_ms() - last_work_ms;
  record.line("after " + std::to_string(elapsed_ms() - traffic_end_ms) +
              " ms: " + std::to_string(kJobs * kItemsOfJob - listed) +
              " items for lm-small listed neither way; all replicas idle for " +
              std::to_string(idle_ms) + " ms");
  std::cout << "listed " << listed << " of " << kJobs * kItemsOfJob << ", replicas idle for "
            << idle_ms << " ms\n";
  if (!readable) {
    return kCouldNotRun;
  }
  constexpr int kCalmMs = 5000;
  return listed < kJobs * kItemsOfJob && idle_ms > kCalmMs ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::run_case(review::run);
}
