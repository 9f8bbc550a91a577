#include "dockpoint/log/keyed_watch.hpp"

#include <algorithm>
#include <utility>

namespace dockpoint {

const char* name_of(WatchState state) {
  switch (state) {
    case WatchState::kLoading:
      return "loading";
    case WatchState::kFollowing:
      return "following";
    case WatchState::kOverdue:
      return "overdue";
    default:
      return "lost";
  }
}

KeyedWatch::KeyedWatch(const Knobs& knobs, PartitionedLog& log, TopicPartition partition,
                       std::uint64_t seed, KeyedWatchObserver& observer, WatchMode mode)
    : knobs_(knobs),
      log_(log),
      partition_(std::move(partition)),
      random_(seed),
      observer_(observer),
      mode_(mode),
      budget_(knobs.freshness_bound) {}

KeyedWatch::~KeyedWatch() {
  state_->alive = false;
}

WatchState KeyedWatch::state(TimePoint now) const {
  if (!state_->loaded && !state_->reload) {
    return WatchState::kLoading;
  }
  if (!state_->reachable) {
    return WatchState::kLost;
  }
  // Until its first tick after a pause the node has not detected the pause yet.
  const bool paused = now - now_ > knobs_.round_gap_limit;
  const bool overdue =
      paused || state_->unconfirmed || (state_->call_pending && now >= state_->overdue_at);
  return overdue ? WatchState::kOverdue : WatchState::kFollowing;
}

void KeyedWatch::tick(TimePoint now) {
  now_ = now;
  if (!state_->call_pending && now >= state_->next_call_at) {
    proceed();
  }
}

void KeyedWatch::refresh() {
  state_->refresh_requested = true;
  if (!state_->call_pending && now_ >= state_->next_call_at) {
    proceed();
  }
}

void KeyedWatch::mark_unconfirmed() {
  state_->unconfirmed = true;
  state_->refresh_requested = true;
  state_->next_call_at = {};
  if (state_->call_pending) {
    state_->call_pending = false;
    ++state_->call;  // A late answer is ignored.
    state_->pages.clear();
    state_->page_key.clear();
    state_->first_page = true;
  }
}

void KeyedWatch::reload() {
  const bool begun = state_->loaded || !state_->first_page;
  state_->reload = state_->reload || begun;
}

void KeyedWatch::proceed() {
  if (mode_ == WatchMode::kOnDemand && !state_->refresh_requested) {
    return;
  }
  if (state_->reload) {
    state_->loaded = false;
  }
  if (state_->loaded) {
    follow();
  } else {
    load_page();
  }
}

void KeyedWatch::load_page() {
  state_->call_pending = true;
  if (state_->first_page) {
    state_->refresh_requested = false;
  }
  const std::uint64_t call = ++state_->call;
  log_.newest(partition_, state_->page_key, [this, state = state_, call](NewestOutcome outcome) {
    if (state->alive && state->call == call) {
      state->call_pending = false;
      on_page(std::move(outcome));
    }
  });
}

void KeyedWatch::on_page(NewestOutcome outcome) {
  if (outcome.status != LogStatus::kOk) {
    fail();
    return;
  }
  // A node that relays records may be behind the records delivered before, or behind the previous
  // page: accepting its answer would revert newer records.
  if (outcome.end < (state_->first_page ? state_->next : state_->load_end)) {
    state_->pages.clear();
    state_->page_key.clear();
    state_->first_page = true;
    fail();
    return;
  }
  succeed();
  if (state_->first_page) {
    state_->first_page = false;
    state_->load_end = outcome.end;
    state_->load_age = outcome.age;
  }
  if (!outcome.records.empty()) {
    state_->page_key = outcome.records.back().key;
  }
  std::move(outcome.records.begin(), outcome.records.end(), std::back_inserter(state_->pages));
  if (outcome.more && !state_->pages.empty()) {
    load_page();
    return;
  }
  const std::vector<KeyedRecord> records = std::move(state_->pages);
  state_->pages.clear();
  state_->page_key.clear();
  state_->first_page = true;
  state_->loaded = true;
  state_->reload = false;
  state_->next = state_->load_end;
  state_->offsets.clear();
  for (const KeyedRecord& record : records) {
    state_->offsets[record.key] = record.offset;
  }
  const auto state = state_;
  observer_.on_snapshot(records);
  if (state->alive) {
    state->confirmed_at = now_ - state->load_age;
    observer_.on_caught_up();
  }
  if (state->alive && !state->call_pending) {
    proceed();
  }
}

void KeyedWatch::follow() {
  state_->call_pending = true;
  state_->refresh_requested = false;
  // While the log is unreachable reads do not wait for records: a read that begins just before the
  // log recovers would hide the recovery for the whole wait (2.5 s and more, on all nodes at once).
  const bool waits = mode_ == WatchMode::kFollow && state_->reachable && !state_->unconfirmed;
  const Duration wait = waits ? budget_.draw_wait(peers_, random_) : Duration{};
  const Duration limit = budget_.read_limit(state_->failures);
  state_->overdue_at = now_ + wait + limit / 2;
  const std::uint64_t call = ++state_->call;
  const auto take = [this, state = state_, call](ReadOutcome outcome) {
    if (state->alive && state->call == call) {
      state->call_pending = false;
      on_records(std::move(outcome));
    }
  };
  log_.read(partition_, state_->next, {wait, limit}, take);
}

void KeyedWatch::on_records(ReadOutcome outcome) {
  if (outcome.status == LogStatus::kCompacted) {
    state_->loaded = false;
    load_page();
    return;
  }
  if (outcome.status != LogStatus::kOk) {
    fail();
    return;
  }
  succeed();
  const auto state = state_;
  for (const KeyedRecord& record : outcome.records) {
    state->next = std::max(state->next, record.offset + 1);
    const auto [known, added] = state->offsets.try_emplace(record.key, record.offset);
    if (!added && known->second >= record.offset) {
      continue;
    }
    known->second = record.offset;
    observer_.on_record(record);
    if (!state->alive) {
      return;
    }
  }
  state->next = std::max(state->next, outcome.next);
  if (mode_ == WatchMode::kOnDemand && !outcome.records.empty() && state->next < outcome.end) {
    follow();  // The answer is only part of the available records.
    return;
  }
  if (mode_ == WatchMode::kFollow && !outcome.records.empty() && state->next >= outcome.end) {
    state->next_call_at = now_ + knobs_.watch_pause;
  }
  state->confirmed_at = now_ - outcome.age;
  observer_.on_caught_up();
  if (state->alive && !state->call_pending && now_ >= state->next_call_at) {
    proceed();
  }
}

void KeyedWatch::fail() {
  state_->refresh_requested = true;
  ++state_->failures;
  state_->next_call_at = now_ + budget_.draw_pause(state_->failures, random_);
  if (state_->reachable) {
    state_->reachable = false;
    observer_.on_reachable(false, now_ - state_->answered_at);
  }
}

void KeyedWatch::succeed() {
  state_->failures = 0;
  state_->unconfirmed = false;
  const Duration silence = now_ - std::exchange(state_->answered_at, now_);
  if (!state_->reachable) {
    state_->reachable = true;
    observer_.on_reachable(true, silence);
  }
}

}  // namespace dockpoint
