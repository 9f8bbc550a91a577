#include "simulation/sim_log.hpp"

#include <memory>

namespace dockpoint::simulation {
namespace {

constexpr Duration kLatency{800};
constexpr std::uint64_t kJitterUs = 600;
constexpr Duration kReadWait{500'000};
constexpr Duration kRefusalTime{20'000};
constexpr std::uint64_t kPercent = 100;

}  // namespace

Duration SimLog::latency() {
  return kLatency + extra_latency_ + Duration(static_cast<std::int64_t>(random_() % kJitterUs));
}

bool SimLog::is_unavailable_to(const std::string& caller) const {
  return down_ || unreachable_.contains(caller);
}

void SimLog::set_unreachable(const std::string& caller, bool unreachable) {
  if (unreachable) {
    unreachable_.insert(caller);
  } else {
    unreachable_.erase(caller);
  }
}

void SimLog::heal() {
  down_ = false;
  extra_latency_ = Duration{};
  lost_answer_percent_ = 0;
  unreachable_.clear();
}

void SimLog::append(const std::string& caller, const std::string& stream,
                    const std::vector<std::string>& records, AppendDone done) {
  events_.after(latency(), [this, caller, stream, records, done = std::move(done)] {
    if (is_unavailable_to(caller)) {
      events_.after(kRefusalTime, [done] { done(std::nullopt); });
      return;
    }
    std::vector<std::string>& stored = streams_[stream];
    const std::uint64_t first = stored.size();
    stored.insert(stored.end(), records.begin(), records.end());
    std::vector<Waiter> waiting;
    waiting.swap(waiters_[stream]);
    for (const Waiter& waiter : waiting) {
      if (*waiter.done) {
        const ReadDone read_done = std::exchange(*waiter.done, nullptr);
        answer_read(stream, waiter.from, waiter.limit, read_done);
      }
    }
    const bool lost = random_() % kPercent < static_cast<std::uint64_t>(lost_answer_percent_);
    events_.after(latency(), [done, lost, first] {
      done(lost ? std::nullopt : std::optional<std::uint64_t>(first));
    });
  });
}

void SimLog::read(const std::string& caller, const std::string& stream, std::uint64_t from,
                  std::size_t limit, ReadDone done) {
  events_.after(latency(), [this, caller, stream, from, limit, done = std::move(done)] {
    if (is_unavailable_to(caller)) {
      events_.after(kRefusalTime, [done] { done(std::nullopt); });
      return;
    }
    if (streams_[stream].size() > from || limit == 0) {
      answer_read(stream, from, limit, done);
      return;
    }
    auto waiting = std::make_shared<ReadDone>(done);
    waiters_[stream].push_back({from, limit, waiting});
    events_.after(kReadWait, [this, stream, from, limit, waiting] {
      if (*waiting) {
        answer_read(stream, from, limit, std::exchange(*waiting, nullptr));
      }
    });
  });
}

void SimLog::answer_read(const std::string& stream, std::uint64_t from, std::size_t limit,
                         const ReadDone& done) {
  const std::vector<std::string>& stored = streams_[stream];
  LogPage page{from, {}, stored.size()};
  for (std::uint64_t offset = from; offset < stored.size() && page.records.size() < limit;
       ++offset) {
    page.records.push_back(stored[offset]);
  }
  events_.after(latency(), [done, page = std::move(page)] { done(page); });
}

}  // namespace dockpoint::simulation
