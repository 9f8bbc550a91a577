#include "emulator/engine_model.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

#include "emulator/log_store.hpp"

using namespace dockpoint;
using namespace dockpoint::emulator;

namespace {

EngineParameters small() {
  EngineParameters parameters;
  parameters.slots = 2;
  parameters.waiting_limit = 4;
  parameters.cache_blocks = 4;
  return parameters;
}

SequenceRequest sequence(const std::string& id, int tokens, bool batch = false) {
  return {id, "prompt of " + id, tokens, batch, 0};
}

using Produced = std::map<std::string, int>;

/// Runs one step, counts its tokens and checks that their indexes are in order.
void step(EngineModel& model, Produced& produced) {
  for (const TokenEvent& token : model.step().tokens) {
    BOOST_TEST(token.index == produced[token.sequence]);
    ++produced[token.sequence];
  }
}

void run(EngineModel& model, Produced& produced) {
  while (!model.idle()) {
    step(model, produced);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_model)

BOOST_AUTO_TEST_CASE(every_sequence_receives_all_tokens_in_order) {
  EngineModel model(small());
  for (const char* id : {"a", "b", "c", "d"}) {
    BOOST_TEST(model.submit(sequence(id, 5)));
  }
  Produced produced;
  run(model, produced);
  for (const char* id : {"a", "b", "c", "d"}) {
    BOOST_TEST(produced.at(id) == 5);
  }
}

BOOST_AUTO_TEST_CASE(online_preempts_batch_which_resumes_without_losing_tokens) {
  EngineModel model(small());
  model.submit(sequence("batch-1", 10, true));
  model.submit(sequence("batch-2", 10, true));
  Produced produced;
  step(model, produced);
  model.submit(sequence("online", 3));
  step(model, produced);
  BOOST_TEST(model.load().running_online == 1U);
  BOOST_TEST(model.load().waiting_batch == 1U);
  BOOST_TEST(model.preemptions() == 1U);
  run(model, produced);
  BOOST_TEST(produced.at("online") == 3);
  BOOST_TEST(produced.at("batch-1") == 10);
  BOOST_TEST(produced.at("batch-2") == 10);
}

BOOST_AUTO_TEST_CASE(full_engine_refuses_sequences) {
  EngineModel model(small());
  for (int index = 0; index < 4; ++index) {
    BOOST_TEST(model.submit(sequence(std::to_string(index), 1)));
  }
  BOOST_TEST(!model.submit(sequence("too-much", 1)));
}

BOOST_AUTO_TEST_CASE(cached_prefix_shortens_prefill_and_cache_size_is_bounded) {
  EngineParameters parameters = small();
  parameters.prefill_tokens_per_second = 100;
  EngineModel model(parameters);
  Produced produced;
  const std::string prompt(256, 'x');
  model.submit({"first", prompt, 1, false, 0});
  const Duration cold = model.step().duration;
  model.submit({"second", prompt, 1, false, 0});
  const Duration warm = model.step().duration;
  BOOST_TEST(warm.count() < cold.count() / 4);
  for (char letter = 'a'; letter < 'z'; ++letter) {
    model.submit({std::string(1, letter), std::string(256, letter), 1, false, 0});
    run(model, produced);
  }
  int cached = 0;
  for (const CacheEvent& event : model.cache_events(0)) {
    cached += event.evicted ? -1 : 1;
  }
  BOOST_TEST(cached == 4);
}

BOOST_AUTO_TEST_CASE(cancelled_sequence_produces_no_more_tokens) {
  EngineModel model(small());
  model.submit(sequence("a", 100));
  model.step();
  BOOST_TEST(model.cancel("a"));
  BOOST_TEST(!model.cancel("a"));
  BOOST_TEST(model.idle());
}

BOOST_AUTO_TEST_CASE(log_store_keeps_order_and_pages) {
  LogStore store;
  BOOST_TEST(store.append("s", {"a", "b"}) == 0U);
  BOOST_TEST(store.append("s", {"c"}) == 2U);
  const LogPage page = store.read("s", 1, 1, std::chrono::milliseconds(0));
  BOOST_TEST((page.records == std::vector<std::string>{"b"}));
  BOOST_TEST(page.end == 3U);
  BOOST_TEST(store.read("other", 0, 10, std::chrono::milliseconds(0)).records.empty());
}

BOOST_AUTO_TEST_SUITE_END()
