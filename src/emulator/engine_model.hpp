#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/engine_load.hpp"

namespace dockpoint::emulator {

/// Speed and capacity of an emulated engine; docs/EMULATOR.md gives the timing formula.
struct EngineParameters {
  int slots = 16;                   ///< Sequences decoded concurrently.
  int waiting_limit = 256;          ///< Further requests are refused as not executed.
  Duration step_base{8'000};        ///< Base duration of a step.
  Duration step_per_sequence{300};  ///< Added per decoding sequence.
  double prefill_tokens_per_second = 20'000;
  int prefill_tokens_per_step = 2'048;  ///< Longer prompts take several steps.
  std::size_t cache_blocks = 4'096;     ///< Prefix cache, in blocks.
  std::size_t block_bytes = 64;         ///< Prompt bytes per block.
};

/// A sequence to submit to the engine.
struct SequenceRequest {
  std::string id;
  std::string prompt;
  int answer_tokens = 1;
  bool batch = false;  ///< Preempted by online sequences.
  int priority = 0;    ///< Within its class; higher is served first.
};

/// One generated token; `last` marks the end of the sequence.
struct TokenEvent {
  std::string sequence;
  int index = 0;
  bool last = false;
};

/// A block added to or evicted from the prefix cache.
struct CacheEvent {
  std::uint64_t number = 0;
  std::uint64_t block = 0;  ///< Hash of the block and its whole prefix.
  bool evicted = false;
};

/// Result of one step.
struct StepResult {
  Duration duration{};  ///< Time until the tokens are output; zero if idle.
  std::vector<TokenEvent> tokens;
};

/// Continuous batching with prefill and decode cost, two priority classes with preemption, and a
/// prefix cache of bounded size. Reads no clock: the caller waits for the duration of each step.
/// Not thread-safe.
class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  /// @return false if the engine refuses the sequence; it is then not executed.
  bool submit(SequenceRequest request);

  /// Cancels a sequence; it produces no more tokens.
  /// @return whether the sequence existed.
  bool cancel(const std::string& id);

  /// Runs one step: admits, preempts, prefills and decodes.
  StepResult step();

  bool idle() const { return running_.empty() && waiting_.empty(); }

  /// @return the load with its counts filled in; the caller sets the other fields.
  EngineLoad load() const;

  /// @return the cache events with numbers from `number` on.
  std::vector<CacheEvent> cache_events(std::uint64_t number) const;

  std::uint64_t cache_hit_blocks() const { return cache_hit_blocks_; }
  std::uint64_t cache_miss_blocks() const { return cache_miss_blocks_; }
  std::uint64_t preemptions() const { return preemptions_; }

 private:
  struct Sequence {
    SequenceRequest request;
    std::uint64_t arrival = 0;
    int prefill_left = -1;  ///< Tokens left to prefill; -1: not admitted yet.
    int produced = 0;
  };

  void admit();
  bool preempt_one_batch();
  int uncached_tokens(const Sequence& sequence);
  void touch_block(std::uint64_t block);
  void record_cache_event(std::uint64_t block, bool evicted);

  const EngineParameters parameters_;
  std::vector<Sequence> running_;
  std::vector<Sequence> waiting_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t preemptions_ = 0;

  std::list<std::uint64_t> cache_order_;  ///< Least recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::deque<CacheEvent> cache_events_;
  std::uint64_t next_cache_event_ = 0;
  std::uint64_t cache_hit_blocks_ = 0;
  std::uint64_t cache_miss_blocks_ = 0;
};

/// @return the text of token `index` of the answer to `prompt`. The answer depends on the prompt
/// alone, so a test that knows the prompt can verify the whole answer.
std::string token_text(const std::string& prompt, int index);

/// @return the number of tokens of the answer to `prompt` when the caller sets no limit.
int default_answer_tokens(const std::string& prompt);

}  // namespace dockpoint::emulator
