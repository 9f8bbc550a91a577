#include "node/daemon.hpp"

#include <spdlog/spdlog.h>

#include "dockpoint/core/hash.hpp"
#include "node/configuration_follower.hpp"
#include "node/machine_list_poller.hpp"

namespace dockpoint {
namespace {

constexpr int kLogWriterThreads = 4;
constexpr int kTaskThreads = 8;
constexpr std::size_t kMaximumQueuedTasks = 10'000;
constexpr std::chrono::milliseconds kDrainPoll{50};

std::uint64_t unix_microseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

NodeOptions make_options(const Settings& settings, std::uint64_t run) {
  NodeOptions options;
  options.self.id = settings.node_name;
  options.self.incarnation = run;
  options.self.peer_address = settings.peer_address;
  options.self.api_address = settings.api_address;
  options.self.zone = settings.zone;
  options.seeds = settings.seeds;
  options.random_seed = hash64(settings.node_name, run);
  options.maximum_batch_in_flight = settings.batch_threads;
  return options;
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : settings_(settings),
      run_(unix_microseconds()),
      log_(settings.log_address),
      files_(log_),
      log_writer_(std::make_shared<LogWriter>(log_, kLogWriterThreads)),
      followers_(std::make_shared<PartitionFollowers>(log_)),
      datagrams_(std::make_shared<DatagramTransport>(
          settings.peer_address,
          [this](PeerMessage message) {
            control_->post(
                [message = std::move(message)](NodeController& controller, TimePoint now) {
                  controller.peer_message(message, now);
                });
          })),
      tasks_(std::make_shared<TaskPool>("tasks", kTaskThreads, kMaximumQueuedTasks)),
      batch_sender_(files_, settings.batch_threads) {
  const NodeOptions options = make_options(settings, run_);
  executor_ = std::make_unique<ActionExecutor>(
      ActionExecutor::Parts{*datagrams_, online_calls_, *followers_, *log_writer_, batch_sender_,
                            *tasks_},
      options.knobs, hash64(settings.node_name, run_));
  control_ = std::make_shared<ControlLoop>(std::make_unique<NodeController>(options, *executor_));
  executor_->connect(*control_);
  followers_->connect(*control_);
  batch_sender_.connect(*control_);
  metrics_ = std::make_unique<Metrics>(Metrics::Sources{*control_, *datagrams_, *log_writer_});
  ApiServer::Options api;
  api.server.address = settings.api_address;
  api.server.threads = settings.http_threads;
  api.maximum_body_bytes = static_cast<std::size_t>(settings.maximum_body_bytes);
  api.maximum_bodies_bytes = static_cast<std::uint64_t>(settings.maximum_bodies_bytes);
  api.health_address = settings.health_address;
  api.maximum_file_bytes = static_cast<std::uint64_t>(settings.maximum_file_bytes);
  api_ = std::make_shared<ApiServer>(
      api, ApiServer::Dependencies{*control_, online_calls_, files_, log_, *metrics_});

  const RestartLimits limits;
  auto platform = std::make_shared<Supervisor>("platform", limits);
  platform->add(log_writer_);
  platform->add(followers_);
  platform->add(std::make_shared<ConfigurationFollower>(log_, *control_));
  platform->add(std::make_shared<MachineListPoller>(settings.machines_address, *control_));
  auto network = std::make_shared<Supervisor>("network", limits);
  network->add(datagrams_);
  network->add(api_);
  auto workers = std::make_shared<Supervisor>("workers", limits);
  workers->add(tasks_);
  workers->add(batch_sender_.pool());
  root_ = std::make_shared<Supervisor>("dockpointd", RestartLimits{0, limits.window, limits.pause});
  root_->add(control_);
  root_->add(platform);
  root_->add(workers);
  root_->add(network);
}

Daemon::~Daemon() {
  stop();
}

void Daemon::start() {
  root_thread_ = std::jthread([this](std::stop_token stop) {
    try {
      root_->run(stop);
    } catch (const SupervisorGaveUp& reason) {
      spdlog::critical("supervisor: Restart limits exceeded, the node is failing; reason={}",
                       reason.what());
      failed_ = true;
    }
  });
  spdlog::info("node: Node started; name={} zone={} api={} peer={}", settings_.node_name,
               settings_.zone, settings_.api_address, settings_.peer_address);
}

int Daemon::drain(const std::function<bool()>& give_up) {
  spdlog::info("node: Drain started; requests={}", api_->requests_in_progress());
  api_->begin_drain();
  control_->call([](NodeController& controller, TimePoint) {
    controller.begin_drain();
    return true;
  });
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::seconds(settings_.drain_seconds);
  bool complete = drained();
  while (!complete && !give_up() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
    complete = drained();
  }
  control_->call([](NodeController& controller, TimePoint) {
    controller.leave();
    return true;
  });
  if (complete) {
    spdlog::info("node: Drain completed; cut=0");
    return 0;
  }
  const int batch = control_->call(
      [](NodeController& controller, TimePoint) { return controller.batch_in_flight(); });
  const int cut = api_->requests_in_progress() + batch;
  spdlog::warn("node: Drain incomplete, work aborted; requests_cut={} items_cut={}",
               api_->requests_in_progress(), batch);
  return cut;
}

bool Daemon::drained() {
  const bool decided =
      control_->call([](NodeController& controller, TimePoint) { return controller.drained(); });
  return decided && api_->requests_in_progress() == 0 && log_writer_->unconfirmed() == 0;
}

void Daemon::stop() {
  root_thread_.request_stop();
  if (root_thread_.joinable()) {
    root_thread_.join();
  }
}

}  // namespace dockpoint
