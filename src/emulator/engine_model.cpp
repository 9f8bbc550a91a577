#include "emulator/engine_model.hpp"

#include <algorithm>
#include <tuple>

#include "dockpoint/core/hash.hpp"

namespace dockpoint::emulator {
namespace {

constexpr std::size_t kCacheEventHistory = 4'096;
constexpr int kBytesPerToken = 4;

}  // namespace

bool EngineModel::submit(SequenceRequest request) {
  if (waiting_.size() >= static_cast<std::size_t>(parameters_.waiting_limit)) {
    return false;
  }
  waiting_.push_back(Sequence{std::move(request), arrivals_++, -1, 0});
  return true;
}

bool EngineModel::cancel(const std::string& id) {
  const auto has_id = [&id](const Sequence& sequence) { return sequence.request.id == id; };
  return std::erase_if(running_, has_id) + std::erase_if(waiting_, has_id) > 0;
}

StepResult EngineModel::step() {
  admit();
  StepResult result;
  if (running_.empty()) {
    return result;
  }
  int prefill_budget = parameters_.prefill_tokens_per_step;
  int prefilled = 0;
  int decoding = 0;
  for (Sequence& sequence : running_) {
    if (sequence.prefill_left > 0) {
      const int tokens = std::min(sequence.prefill_left, prefill_budget);
      sequence.prefill_left -= tokens;
      prefill_budget -= tokens;
      prefilled += tokens;
    }
    if (sequence.prefill_left > 0) {
      continue;
    }
    ++decoding;
    const bool last = sequence.produced + 1 >= sequence.request.answer_tokens;
    result.tokens.push_back({sequence.request.id, sequence.produced, last});
    ++sequence.produced;
  }
  std::erase_if(running_, [](const Sequence& sequence) {
    return sequence.produced >= sequence.request.answer_tokens;
  });
  const auto prefill_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(prefilled / parameters_.prefill_tokens_per_second));
  result.duration = parameters_.step_base + parameters_.step_per_sequence * decoding + prefill_time;
  return result;
}

EngineLoad EngineModel::load() const {
  EngineLoad load;
  for (const Sequence& sequence : running_) {
    ++(sequence.request.batch ? load.running_batch : load.running_online);
  }
  for (const Sequence& sequence : waiting_) {
    ++(sequence.request.batch ? load.waiting_batch : load.waiting_online);
  }
  return load;
}

std::vector<CacheEvent> EngineModel::cache_events(std::uint64_t number) const {
  std::vector<CacheEvent> events;
  std::copy_if(cache_events_.begin(), cache_events_.end(), std::back_inserter(events),
               [number](const CacheEvent& event) { return event.number >= number; });
  return events;
}

void EngineModel::admit() {
  std::stable_sort(
      waiting_.begin(), waiting_.end(), [](const Sequence& left, const Sequence& right) {
        return std::make_tuple(left.request.batch, -left.request.priority, left.arrival) <
               std::make_tuple(right.request.batch, -right.request.priority, right.arrival);
      });
  while (!waiting_.empty()) {
    const bool full = running_.size() >= static_cast<std::size_t>(parameters_.slots);
    if (full && (waiting_.front().request.batch || !preempt_one_batch())) {
      return;
    }
    Sequence sequence = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    sequence.prefill_left = uncached_tokens(sequence);
    running_.push_back(std::move(sequence));
  }
}

bool EngineModel::preempt_one_batch() {
  const auto newest = std::max_element(running_.begin(), running_.end(),
                                       [](const Sequence& left, const Sequence& right) {
                                         return std::make_tuple(left.request.batch, left.arrival) <
                                                std::make_tuple(right.request.batch, right.arrival);
                                       });
  if (newest == running_.end() || !newest->request.batch) {
    return false;
  }
  // Preemption drops the KV cache; the tokens produced are kept and prefilled again on resumption.
  Sequence preempted = std::move(*newest);
  running_.erase(newest);
  waiting_.push_back(std::move(preempted));
  ++preemptions_;
  return true;
}

int EngineModel::uncached_tokens(const Sequence& sequence) {
  const std::string_view prompt = sequence.request.prompt;
  std::uint64_t block = 0;
  int uncached = sequence.produced + 1;
  bool matching = true;
  for (std::size_t begin = 0; begin < prompt.size(); begin += parameters_.block_bytes) {
    const std::string_view text = prompt.substr(begin, parameters_.block_bytes);
    block = combine_hash(block, hash64(text));
    matching = matching && cache_.contains(block);
    if (matching) {
      ++cache_hit_blocks_;
    } else {
      ++cache_miss_blocks_;
      uncached += static_cast<int>(text.size()) / kBytesPerToken;
    }
    if (text.size() == parameters_.block_bytes) {
      touch_block(block);
    }
  }
  return uncached;
}

void EngineModel::touch_block(std::uint64_t block) {
  const auto found = cache_.find(block);
  if (found != cache_.end()) {
    cache_order_.splice(cache_order_.end(), cache_order_, found->second);
    return;
  }
  cache_[block] = cache_order_.insert(cache_order_.end(), block);
  record_cache_event(block, false);
  if (cache_.size() > parameters_.cache_blocks) {
    const std::uint64_t oldest = cache_order_.front();
    cache_order_.pop_front();
    cache_.erase(oldest);
    record_cache_event(oldest, true);
  }
}

void EngineModel::record_cache_event(std::uint64_t block, bool evicted) {
  cache_events_.push_back({next_cache_event_++, block, evicted});
  if (cache_events_.size() > kCacheEventHistory) {
    cache_events_.pop_front();
  }
}

std::string token_text(const std::string& prompt, int index) {
  constexpr std::uint64_t kVocabulary = 50'000;
  const std::uint64_t word = hash64(prompt, static_cast<std::uint64_t>(index) + 1) % kVocabulary;
  return (index == 0 ? "w" : " w") + std::to_string(word);
}

int default_answer_tokens(const std::string& prompt) {
  constexpr std::uint64_t kShortest = 16;
  constexpr std::uint64_t kSpread = 48;
  return static_cast<int>(kShortest + hash64(prompt) % kSpread);
}

}  // namespace dockpoint::emulator
