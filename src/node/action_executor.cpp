#include "node/action_executor.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/batch/checkpoint.hpp"
#include "dockpoint/core/codec.hpp"
#include "http/engine_protocol.hpp"
#include "node/configuration_follower.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kPeerCallTimeout{2000};

}  // namespace

ActionExecutor::ActionExecutor(const Parts& parts, const Knobs& knobs, std::uint64_t writer)
    : parts_(parts),
      checkpoint_chunk_bytes_(knobs.checkpoint_chunk_bytes),
      writer_(writer),
      sessions_(kPeerCallTimeout) {}

void ActionExecutor::send(const std::string& address, const PeerMessage& message) {
  parts_.datagrams.send(address, message);
}

void ActionExecutor::start_attempt(RequestNumber request, const EngineConfig& engine,
                                   int priority) {
  parts_.online_calls.push(request, AttemptCommand{engine, priority});
}

void ActionExecutor::refuse(RequestNumber request, const Error& error) {
  parts_.online_calls.push(request, error);
}

void ActionExecutor::follow(int partition) {
  parts_.followers.follow(partition);
}

void ActionExecutor::unfollow(int partition) {
  parts_.followers.unfollow(partition);
}

void ActionExecutor::append(int partition, const PartitionRecord& record) {
  parts_.log_writer.append(job_stream(partition), encode(record));
}

void ActionExecutor::write_checkpoint(int partition, Offset covers, std::string snapshot) {
  spdlog::info("batch: Writing checkpoint; partition={} covers={} bytes={}", partition, covers,
               snapshot.size());
  for (std::string& record :
       make_checkpoint_records(covers, writer_, snapshot, checkpoint_chunk_bytes_)) {
    parts_.log_writer.append(checkpoint_stream(partition), std::move(record));
  }
}

void ActionExecutor::append_configuration(const ConfigurationChange& change) {
  parts_.log_writer.append(kConfigurationStream, pack(change));
}

void ActionExecutor::fetch_configuration(const std::string& api_address) {
  parts_.tasks.submit([this, api_address] { fetch_configuration_now(api_address); });
}

void ActionExecutor::fetch_configuration_now(const std::string& api_address) {
  HttpExchange request;
  request.address = api_address;
  request.path = "/peer/v1/configuration";
  request.timeout = kPeerCallTimeout;
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer || outcome.answer->status != 200) {
    return;
  }
  const auto revision = unpack<ConfigurationRevision>(outcome.answer->body);
  if (!revision) {
    return;
  }
  control_->post([revision = *revision](NodeController& controller, TimePoint now) {
    controller.configuration_fetched(revision, now);
  });
}

void ActionExecutor::poll_load(const std::string& engine, const std::string& address) {
  parts_.tasks.submit([this, engine, address] { poll_load_now(engine, address); });
}

void ActionExecutor::poll_load_now(const std::string& engine, const std::string& address) {
  HttpExchange request;
  request.address = address;
  request.path = "/load";
  request.timeout = kPeerCallTimeout;
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer || outcome.answer->status != 200) {
    return;
  }
  error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(load, parse_engine_load(outcome.answer->body));
    control_->post([engine, load](NodeController& controller, TimePoint now) {
      controller.load_polled(engine, load, now);
    });
    return {};
  });
}

void ActionExecutor::dispatch_item(const ItemDispatch& item) {
  parts_.batch_sender.send(item);
}

void ActionExecutor::cancel_item(int partition, const std::string& job, ItemIndex item) {
  parts_.tasks.submit(
      [this, partition, job, item] { parts_.batch_sender.cancel(partition, job, item); });
}

}  // namespace dockpoint
