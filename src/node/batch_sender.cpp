#include "node/batch_sender.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/core/json_reader.hpp"
#include "http/engine_protocol.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kItemTimeout{120'000};
constexpr std::chrono::milliseconds kItemCancelTimeout{2'000};
constexpr std::size_t kMaximumQueuedItems = 100'000;

}  // namespace

BatchSender::BatchSender(FileStore& files, int threads)
    : files_(files),
      sessions_(kItemTimeout),
      pool_(std::make_shared<TaskPool>("batch-sender", threads, kMaximumQueuedItems)) {}

void BatchSender::send(const ItemDispatch& item) {
  const auto report = [this](ItemOutcome outcome) {
    control_->post([outcome = std::move(outcome)](NodeController& controller, TimePoint now) {
      controller.item_ended(outcome, now, unix_now());
    });
  };
  if (!items_.add(item)) {
    report(make_outcome(item, ItemEnd::kNotSent));
    return;
  }
  const auto run_and_report = [this, item, report] {
    ItemOutcome outcome = run(item);
    if (items_.finish(item) && outcome.end != ItemEnd::kAnswered) {
      outcome.end = ItemEnd::kYielded;
    }
    report(std::move(outcome));
  };
  if (!pool_->submit(run_and_report)) {
    items_.finish(item);
    report(make_outcome(item, ItemEnd::kNotSent));
  }
}

ItemOutcome BatchSender::run(const ItemDispatch& item) {
  const std::string request_id = item.job + "-" + std::to_string(item.item) + "-e" +
                                 std::to_string(item.epoch) + "-a" + std::to_string(item.attempt);
  std::optional<BatchFileItem> batch_item;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(line, files_.read_line(item.input_file_id, item.item));
    BOOST_LEAF_ASSIGN(batch_item, parse_batch_item(line));
    return {};
  });
  if (error) {
    const bool retryable = error->code == ResultCode::kPlatformUnavailable;
    ItemOutcome outcome = make_outcome(item, retryable ? ItemEnd::kNotSent : ItemEnd::kInvalid);
    outcome.body = error_detail_json(error->code, error->message);
    return outcome;
  }
  if (!items_.mark_sent(item, {item.engine_address, request_id})) {
    return make_outcome(item, ItemEnd::kNotSent);
  }
  return exchange_with_engine(item, *batch_item, request_id);
}

ItemOutcome BatchSender::exchange_with_engine(const ItemDispatch& item,
                                              const BatchFileItem& batch_item,
                                              const std::string& request_id) {
  HttpExchange request;
  request.address = item.engine_address;
  request.method = "POST";
  request.path = batch_item.url;
  request.body = batch_item.body;
  request.timeout = kItemTimeout;
  request.headers = {{kRequestIdHeader, request_id},
                     {kPriorityClassHeader, "batch"},
                     {kEpochHeader, std::to_string(item.epoch)}};
  const HttpOutcome exchanged = exchange(sessions_, request);
  ItemOutcome outcome = make_outcome(item, ItemEnd::kAnswered);
  outcome.custom_id = batch_item.custom_id;
  if (!exchanged.answer) {
    outcome.end = exchanged.failure.sent ? ItemEnd::kUnknown : ItemEnd::kNotSent;
    spdlog::debug("batch: No response for item; request_id={} reason={}", request_id,
                  exchanged.failure.reason);
    return outcome;
  }
  outcome.status = exchanged.answer->status;
  outcome.body = exchanged.answer->body;
  switch (classify_answer(*exchanged.answer, request_id)) {
    case EngineAnswer::kFinal:
      break;
    case EngineAnswer::kNotRun:
      outcome.end = ItemEnd::kRefused;
      break;
    case EngineAnswer::kUnknown:
      outcome.end = ItemEnd::kUnknown;
      break;
  }
  return outcome;
}

void BatchSender::cancel(int partition, const std::string& job, ItemIndex item) {
  const std::optional<ItemRegistry::SentRequest> sent = items_.cancel(partition, job, item);
  if (!sent) {
    return;
  }
  HttpExchange request;
  request.address = sent->engine_address;
  request.path = "/cancel?id=" + sent->request_id;
  request.method = "POST";
  request.timeout = kItemCancelTimeout;
  exchange(sessions_, request);
}

}  // namespace dockpoint
