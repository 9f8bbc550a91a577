/// Tests which clients give way when all of them together hold too much. The replays feed the
/// arrivals of a crowd and of ordinary clients to the budget alone.

#include "dockpoint/admission/client_budget.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <vector>

using namespace dockpoint;

namespace {

constexpr std::uint64_t kBody = 65'000;
constexpr std::uint64_t kSmallRequest = 600;
constexpr ClientLimits kLimits{2 * 1024 * 1024, 100};

/// A budget whose excess connections are closed at once, as the pool does.
struct Replay {
  ClientBudget budget{kLimits};
  std::vector<ClientId> closed;

  /// A client sends so much of a request, whose rest is missing.
  ClientId send(std::uint64_t bytes) {
    const ClientId id = budget.add();
    send_more(id, bytes, bytes);
    return id;
  }
  void send_more(ClientId id, std::uint64_t bytes, std::uint64_t held) {
    budget.transferred(id, bytes);
    hold(id, ClientState::kSending, held);
  }
  void hold(ClientId id, ClientState state, std::uint64_t held) {
    budget.update(id, state, held);
    close_excess();
  }
  void close_excess() {
    while (const auto id = budget.excess_buffer()) {
      closed.push_back(*id);
      budget.remove(*id);
    }
  }
  bool is_closed(ClientId id) const { return std::ranges::find(closed, id) != closed.end(); }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(client_budget)

BOOST_AUTO_TEST_CASE(stalled_clients_give_way_to_ordinary_requests) {
  Replay replay;
  constexpr int kCrowd = 400;
  for (int client = 0; client < kCrowd; ++client) {
    replay.send(kBody);
    const std::uint64_t request = 2 * kSmallRequest;
    const ClientId ordinary = replay.send(kSmallRequest);
    BOOST_TEST(replay.budget.may_process(request));
    replay.hold(ordinary, ClientState::kProcessing, request);
    replay.hold(ordinary, ClientState::kReceiving, 10 * kSmallRequest);
    BOOST_TEST(!replay.is_closed(ordinary));
    replay.budget.remove(ordinary);
    BOOST_TEST(replay.budget.bytes() <= kLimits.buffer_bytes);
  }
  BOOST_TEST(replay.closed.size() > kCrowd - kLimits.buffer_bytes / kBody);
}

BOOST_AUTO_TEST_CASE(a_client_that_makes_progress_outlasts_those_that_have_stopped) {
  Replay replay;
  const ClientId uploader = replay.send(ClientBudget::kProgressBytes);
  std::uint64_t held = ClientBudget::kProgressBytes;
  constexpr int kCrowd = 200;
  for (int client = 0; client < kCrowd; ++client) {
    replay.send(kBody);
    held = std::min(kBody, held + ClientBudget::kProgressBytes);
    replay.send_more(uploader, ClientBudget::kProgressBytes, held);
  }
  BOOST_TEST(!replay.closed.empty());
  BOOST_TEST(!replay.is_closed(uploader));
}

BOOST_AUTO_TEST_CASE(single_bytes_do_not_keep_the_place_of_a_client) {
  Replay replay;
  const ClientId slow = replay.send(kBody);
  constexpr int kCrowd = 200;
  for (std::uint64_t client = 1; client <= kCrowd && !replay.is_closed(slow); ++client) {
    replay.send_more(slow, 1, kBody + client);
    replay.send(kBody);
  }
  BOOST_TEST_REQUIRE(!replay.closed.empty());
  BOOST_TEST(replay.closed.front() == slow);
}

BOOST_AUTO_TEST_CASE(small_requests_outlast_large_ones) {
  Replay replay;
  const ClientId small = replay.send(kSmallRequest);
  constexpr int kCrowd = 200;
  for (int client = 0; client < kCrowd; ++client) {
    replay.send(kBody);
  }
  BOOST_TEST(!replay.closed.empty());
  BOOST_TEST(!replay.is_closed(small));
}

BOOST_AUTO_TEST_CASE(unread_answers_give_way_and_requests_in_progress_do_not) {
  Replay replay;
  const ClientId running = replay.budget.add();
  replay.hold(running, ClientState::kProcessing, kBody);
  const ClientId pipelining = replay.budget.add();
  replay.hold(pipelining, ClientState::kPipelining, kBody);
  const ClientId unread = replay.budget.add();
  replay.hold(unread, ClientState::kReceiving, kLimits.buffer_bytes);
  BOOST_TEST(replay.is_closed(unread));
  BOOST_TEST(replay.is_closed(pipelining));
  BOOST_TEST(!replay.is_closed(running));
}

BOOST_AUTO_TEST_CASE(requests_that_would_fill_the_buffers_are_refused_the_small_ones_last) {
  Replay replay;
  int large = 0;
  for (; replay.budget.may_process(2 * kBody); ++large) {
    replay.hold(replay.budget.add(), ClientState::kProcessing, 2 * kBody);
  }
  BOOST_TEST(large > 10);
  BOOST_TEST(replay.budget.may_process(2 * kSmallRequest));
  int small = 0;
  for (; replay.budget.may_process(2 * kSmallRequest); ++small) {
    replay.hold(replay.budget.add(), ClientState::kProcessing, 2 * kSmallRequest);
  }
  BOOST_TEST(small > 10);
  BOOST_TEST(replay.closed.empty());
  BOOST_TEST(replay.budget.bytes() <= kLimits.buffer_bytes);
}

BOOST_AUTO_TEST_CASE(connections_are_replaced_by_what_they_wait_for_and_then_by_age) {
  ClientBudget budget(kLimits);
  const auto add = [&](ClientState state) {
    const ClientId id = budget.add();
    budget.update(id, state, 0);
    return id;
  };
  add(ClientState::kProcessing);
  const ClientId sending = add(ClientState::kSending);
  const ClientId receiving = add(ClientState::kReceiving);
  const ClientId idle = add(ClientState::kIdle);
  const ClientId fresh = add(ClientState::kNew);
  const ClientId fresher = add(ClientState::kNew);
  const ClientId refused = add(ClientState::kRefused);
  for (const ClientId expected : {refused, fresh, fresher, idle, sending, receiving}) {
    BOOST_TEST((budget.replaceable_connection() == expected));
    budget.remove(expected);
  }
  BOOST_TEST(!budget.replaceable_connection().has_value());
}

BOOST_AUTO_TEST_CASE(the_number_of_connections_is_limited) {
  ClientBudget budget(kLimits);
  for (std::size_t client = 0; client < kLimits.connections; ++client) {
    BOOST_TEST(!budget.full());
    budget.add();
  }
  BOOST_TEST(budget.full());
}

// Random events: the sum is that of all connections, and stays under the limit unless requests in
// progress alone exceed it.
BOOST_AUTO_TEST_CASE(the_sum_of_what_clients_hold_is_bounded) {
  constexpr int kSeeds = 20;
  constexpr int kEvents = 5'000;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    Replay replay;
    std::map<ClientId, std::uint64_t> held;
    std::set<ClientId> processing;
    for (int event = 0; event < kEvents; ++event) {
      const ClientId id = held.empty() || random() % 4 == 0
                              ? replay.budget.add()
                              : std::next(held.begin(), random() % held.size())->first;
      const auto state = static_cast<ClientState>(random() % 7);
      const std::uint64_t bytes = random() % (3 * kBody);
      processing.erase(id);
      if (state == ClientState::kProcessing && !replay.budget.may_process(bytes)) {
        replay.budget.remove(id);
        held.erase(id);
        continue;
      }
      if (state == ClientState::kProcessing) {
        processing.insert(id);
      }
      held[id] = bytes;
      replay.hold(id, state, bytes);
      for (const ClientId closed : std::exchange(replay.closed, {})) {
        BOOST_REQUIRE(!processing.contains(closed));
        held.erase(closed);
      }
      std::uint64_t sum = 0;
      for (const auto& [client, own] : held) {
        sum += own + ClientBudget::kConnectionBytes;
      }
      BOOST_REQUIRE(replay.budget.bytes() == sum);
      BOOST_REQUIRE(replay.budget.connections() == held.size());
      BOOST_REQUIRE(sum <= kLimits.buffer_bytes + ClientBudget::kConnectionBytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
