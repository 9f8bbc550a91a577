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

/// Speed and size of an emulated engine; docs/EMULATOR.md gives the timing formula.
struct EngineParameters {
  int slots = 16;                   ///< Sequences decoded at once.
  int waiting_limit = 256;          ///< Then requests are refused as not run.
  Duration step_base{8'000};        ///< Cost of one step.
  Duration step_per_sequence{300};  ///< Added for each decoding sequence.
  double prefill_tokens_per_second = 20'000;
  int prefill_tokens_per_step = 2'048;  ///< Longer prompts take several steps.
  std::size_t cache_blocks = 4'096;     ///< Prefix cache, in blocks.
  std::size_t block_bytes = 64;         ///< Prompt text in one block.
};

/// A sequence as submitted.
struct SequenceRequest {
  std::string id;
  std::string prompt;
  int answer_tokens = 1;
  bool batch = false;  ///< Batch gives way to online.
  int priority = 0;    ///< Among its own class; higher goes first.
};

/// One token, or the end of a sequence.
struct TokenEvent {
  std::string sequence;
  int index = 0;
  bool last = false;
};

/// A change of the prefix cache.
struct CacheEvent {
  std::uint64_t number = 0;
  std::uint64_t block = 0;  ///< Hash of the block and all before it.
  bool evicted = false;
};

/// What one step did.
struct StepResult {
  Duration duration{};  ///< Until the tokens come out; zero if there was nothing to do.
  std::vector<TokenEvent> tokens;
};

/// Continuous batching with prefill and decode cost, two priority classes with preemption, and a
/// prefix cache of bounded memory. Pure: the caller supplies time by waiting out each step.
/// Not thread-safe.
class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  /// @return false if the engine refuses, which means that the sequence does not run.
  bool submit(SequenceRequest request);

  /// Ends a sequence; it gives no more tokens.
  /// @return whether it was there.
  bool cancel(const std::string& id);

  /// Runs one step: admits, preempts, prefills and decodes.
  StepResult step();

  bool idle() const { return running_.empty() && waiting_.empty(); }

  /// @return counts of the load; the caller sets the rest.
  EngineLoad load() const;

  /// @return cache events from `number` on.
  std::vector<CacheEvent> cache_events(std::uint64_t number) const;

  std::uint64_t cache_hit_blocks() const { return cache_hit_blocks_; }
  std::uint64_t cache_miss_blocks() const { return cache_miss_blocks_; }
  std::uint64_t preemptions() const { return preemptions_; }

 private:
  struct Sequence {
    SequenceRequest request;
    std::uint64_t arrival = 0;
    int prefill_left = -1;  ///< Tokens; -1: not admitted yet.
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
/// alone, so whoever knows the prompt can check the whole answer.
std::string token_text(const std::string& prompt, int index);

/// @return the number of tokens of the answer to `prompt` when the caller sets no limit.
int default_answer_tokens(const std::string& prompt);

}  // namespace dockpoint::emulator
