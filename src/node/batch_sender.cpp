#include "node/batch_sender.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/core/json_reader.hpp"
#include "http/engine_protocol.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kItemTimeout{120'000};
constexpr std::chrono::milliseconds kCancelTimeout{2'000};
constexpr std::size_t kMaximumWaiting = 100'000;

}  // namespace

BatchSender::BatchSender(FileStore& files, int threads)
    : files_(files),
      sessions_(kItemTimeout),
      pool_(std::make_shared<TaskPool>("batch-sender", threads, kMaximumWaiting)) {}

void BatchSender::send(const ItemDispatch& item) {
  const auto report = [this](ItemOutcome outcome) {
    control_->post([outcome = std::move(outcome)](NodeController& controller, TimePoint now) {
      controller.item_ended(outcome, now, unix_now());
    });
  };
  const bool taken = pool_->submit([this, item, report] { report(run(item)); });
  if (!taken) {
    report(make_outcome(item, ItemEnd::kNotSent));
  }
}

ItemOutcome BatchSender::run(const ItemDispatch& item) {
  const std::string request_id = item.job + "-" + std::to_string(item.item) + "-e" +
                                 std::to_string(item.epoch) + "-a" + std::to_string(item.attempt);
  std::optional<BatchItem> batch_item;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(line, files_.read_line(item.input_file_id, item.item));
    BOOST_LEAF_ASSIGN(batch_item, parse_batch_item(line));
    return {};
  });
  if (error) {
    const bool later = error->code == ResultCode::kPlatformUnavailable;
    ItemOutcome outcome = make_outcome(item, later ? ItemEnd::kNotSent : ItemEnd::kInvalid);
    outcome.body = error_detail_json(error->code, error->message);
    return outcome;
  }
  if (!begin(item, request_id)) {
    return make_outcome(item, ItemEnd::kNotSent);
  }
  ItemOutcome outcome = exchange_with_engine(item, *batch_item, request_id);
  if (finish(item) && outcome.end != ItemEnd::kAnswered) {
    outcome.end = ItemEnd::kYielded;
  }
  return outcome;
}

ItemOutcome BatchSender::exchange_with_engine(const ItemDispatch& item, const BatchItem& batch_item,
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
    spdlog::debug("batch: An item got no answer; request_id={} reason={}", request_id,
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

bool BatchSender::begin(const ItemDispatch& item, const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_
      .emplace(Key{item.partition, item.job, item.item},
               Running{item.engine_address, request_id, false})
      .second;
}

bool BatchSender::finish(const ItemDispatch& item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto node = running_.extract(Key{item.partition, item.job, item.item});
  return !node.empty() && node.mapped().cancelled;
}

void BatchSender::cancel(int partition, const std::string& job, ItemIndex item) {
  HttpExchange request;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = running_.find(Key{partition, job, item});
    if (found == running_.end()) {
      return;
    }
    found->second.cancelled = true;
    request.address = found->second.engine_address;
    request.path = "/cancel?id=" + found->second.request_id;
  }
  request.method = "POST";
  request.timeout = kCancelTimeout;
  exchange(sessions_, request);
}

}  // namespace dockpoint
