#include "simulation/sim_node.hpp"

#include <algorithm>

#include "dockpoint/batch/checkpoint.hpp"
#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"
#include "simulation/world.hpp"

namespace dockpoint::simulation {
namespace {

constexpr Duration kTickInterval{50'000};
constexpr Duration kListInterval{1'000'000};
constexpr Duration kRetryPause{200'000};
constexpr Duration kLogUnreachableAfter{2'000'000};
constexpr Duration kConfirmationWait{3'000'000};
constexpr Duration kItemTimeout{30'000'000};
constexpr Duration kDrainLimit{60'000'000};
constexpr int kMaximumForwards = 2;
constexpr std::size_t kPageRecords = 2'000;
constexpr UnixSeconds kEpochStart = 1'800'000'000;
constexpr const char* kConfigurationStreamName = "configuration";

Error not_owner() {
  return Error{
      ResultCode::kNotOwner, "no owner is known", {}, RunState::kNotRun, std::chrono::seconds(1)};
}

Error unconfirmed(RunState run) {
  return Error{ResultCode::kPlatformUnavailable,
               "the log did not confirm in time",
               {},
               run,
               std::chrono::seconds(2)};
}

}  // namespace

SimNode::SimNode(Options options, World& world) : options_(std::move(options)), world_(world) {}

void SimNode::start() {
  ++generation_;
  up_ = true;
  frozen_ = false;
  draining_ = false;
  deferred_.clear();
  calls_.clear();
  followed_.clear();
  append_queues_.clear();
  appending_.clear();
  items_under_way_.clear();
  cancelled_items_.clear();
  seen_revision_ = 0;
  log_reachable_ = true;
  log_answered_ = local_now();
  NodeOptions node;
  node.knobs = options_.knobs;
  node.self.id = options_.name;
  node.self.incarnation =
      static_cast<std::uint64_t>(world_.events().now().time_since_epoch().count()) + generation_;
  node.self.peer_address = options_.peer_address;
  node.self.api_address = options_.api_address;
  node.self.zone = options_.zone;
  node.seeds = options_.seeds;
  node.random_seed = combine_hash(options_.seed, generation_);
  controller_ = std::make_unique<NodeController>(node, static_cast<NodeActions&>(*this));
  world_.history().trace(world_.events().now(), "node " + options_.name + " starts");
  tick();
  poll_machines();
  read_configuration();
}

void SimNode::kill() {
  if (up_) {
    world_.history().trace(world_.events().now(), "node " + options_.name + " dies");
    exit(true);
  }
}

void SimNode::exit(bool cuts_calls) {
  up_ = false;
  frozen_ = false;
  ++generation_;
  deferred_.clear();
  std::map<RequestNumber, OnlineCall> calls;
  calls.swap(calls_);
  for (auto& [number, call] : calls) {
    if (cuts_calls) {
      world_.events().after(Duration{1'000}, call.reply.connection_lost);
    }
  }
}

void SimNode::freeze() {
  if (up_) {
    frozen_ = true;
    world_.history().trace(world_.events().now(), "node " + options_.name + " freezes");
  }
}

void SimNode::wake() {
  if (!frozen_) {
    return;
  }
  frozen_ = false;
  world_.history().trace(world_.events().now(), "node " + options_.name + " wakes");
  std::deque<std::function<void()>> deferred;
  deferred.swap(deferred_);
  for (const auto& action : deferred) {
    run(generation_, action);
  }
}

void SimNode::drain() {
  run(generation_, [this] {
    world_.history().drains.push_back({options_.name, world_.events().now()});
    world_.history().trace(world_.events().now(), "node " + options_.name + " drains");
    draining_ = true;
    drain_started_ = local_now();
    controller_->begin_drain();
    finish_drain();
  });
}

void SimNode::finish_drain() {
  const bool written = std::all_of(append_queues_.begin(), append_queues_.end(),
                                   [](const auto& queue) { return queue.second.empty(); });
  const bool complete = controller_->drained() && calls_.empty() && written;
  const bool given_up = local_now() - drain_started_ > kDrainLimit;
  if (!complete && !given_up && options_.knobs.mechanisms.drain) {
    world_.events().after(kTickInterval, guarded([this] { finish_drain(); }));
    return;
  }
  for (const auto& [number, call] : calls_) {
    world_.history().cut_by_drain.push_back(call.spec.name);
  }
  controller_->leave();
  world_.history().trace(world_.events().now(), "node " + options_.name + " stops");
  exit(true);
}

void SimNode::run(std::uint64_t generation, const std::function<void()>& action) {
  if (generation != generation_ || !up_) {
    return;
  }
  if (frozen_) {
    deferred_.push_back(action);
    return;
  }
  action();
  if (up_) {
    observe_configuration();
  }
}

std::function<void()> SimNode::guarded(std::function<void()> action) {
  return [this, generation = generation_, action = std::move(action)] { run(generation, action); };
}

template <class Argument>
std::function<void(const Argument&)> SimNode::guard(
    std::type_identity_t<std::function<void(const Argument&)>> action) {
  return [this, generation = generation_, action = std::move(action)](const Argument& argument) {
    run(generation, [action, argument] { action(argument); });
  };
}

void SimNode::observe_configuration() {
  const ConfigurationRevision& current = controller_->configuration().current();
  if (current.revision == seen_revision_) {
    return;
  }
  seen_revision_ = current.revision;
  world_.history().revisions.push_back(
      {world_.events().now(), options_.name, generation_, current.revision, current.change_id});
  world_.history().trace(world_.events().now(), "node " + options_.name + " has revision " +
                                                    std::to_string(current.revision));
}

TimePoint SimNode::local_now() const {
  const auto elapsed = static_cast<double>(world_.events().now().time_since_epoch().count());
  return TimePoint(Duration(static_cast<std::int64_t>(elapsed * options_.clock_rate)));
}

UnixSeconds SimNode::wall_clock() const {
  return kEpochStart +
         std::chrono::duration_cast<std::chrono::seconds>(local_now().time_since_epoch()).count();
}

void SimNode::tick() {
  controller_->tick(local_now(), wall_clock());
  world_.events().after(kTickInterval, guarded([this] { tick(); }));
}

void SimNode::poll_machines() {
  controller_->machines_listed(world_.machine_list(), local_now(), local_now());
  world_.events().after(kListInterval, guarded([this] { poll_machines(); }));
}

void SimNode::read_configuration() {
  const std::uint64_t next = controller_->configuration().next_offset();
  world_.log().read(
      options_.name, kConfigurationStreamName, next, kPageRecords,
      guard<std::optional<LogPage>>([this](const std::optional<LogPage>& page) {
        const bool answered = page.has_value();
        if (answered) {
          log_answered_ = local_now();
          controller_->configuration_read(page->first, page->records, local_now());
        }
        const bool reachable = answered || local_now() - log_answered_ < kLogUnreachableAfter;
        if (reachable != log_reachable_) {
          log_reachable_ = reachable;
          controller_->log_reachability_changed(reachable);
        }
        if (answered) {
          read_configuration();
        } else {
          world_.events().after(kRetryPause, guarded([this] { read_configuration(); }));
        }
      }));
}

// Peers.

void SimNode::send(const std::string& address, const PeerMessage& message) {
  SimNode* target = world_.node_at_peer_address(address);
  if (target == nullptr) {
    return;
  }
  const std::string bytes = encode(message);
  world_.network().datagram(place(), target->place(), bytes.size(), [target, bytes] {
    if (const auto decoded = decode_peer_message(bytes)) {
      target->receive(*decoded);
    }
  });
}

void SimNode::receive(const PeerMessage& message) {
  run(generation_, [this, message] { controller_->peer_message(message, local_now()); });
}

void SimNode::fetch_configuration(const std::string& api_address) {
  SimNode* peer = world_.node_at_api_address(api_address);
  if (peer == nullptr || !peer->up() || peer->frozen()) {
    return;
  }
  const auto adopt = guard<ConfigurationRevision>([this](const ConfigurationRevision& revision) {
    controller_->configuration_fetched(revision, local_now());
  });
  world_.network().message(
      place(), peer->place(),
      [this, peer, adopt] {
        peer->run(peer->generation_, [this, peer, adopt] {
          const ConfigurationRevision revision = peer->controller_->configuration().current();
          world_.network().message(
              peer->place(), place(), [adopt, revision] { adopt(revision); }, [] {});
        });
      },
      [] {});
}

void SimNode::poll_load(const std::string& engine, const std::string& address) {
  SimEngine* target = world_.engine_at(address);
  if (target == nullptr) {
    return;
  }
  const auto report = guard<EngineLoad>([this, engine](const EngineLoad& load) {
    controller_->load_polled(engine, load, local_now());
  });
  world_.network().message(
      place(), target->place(),
      [this, target, report] {
        if (const std::optional<EngineLoad> load = target->reported_load()) {
          world_.network().message(
              target->place(), place(), [report, load] { report(*load); }, [] {});
        }
      },
      [] {});
}

// The log.

void SimNode::follow(int partition) {
  const std::uint64_t token = next_follow_token_++;
  followed_[partition] = token;
  load_checkpoint(partition, token);
}

void SimNode::unfollow(int partition) {
  followed_.erase(partition);
}

bool SimNode::follows(int partition, std::uint64_t follow_token) const {
  const auto found = followed_.find(partition);
  return found != followed_.end() && found->second == follow_token;
}

void SimNode::load_checkpoint(int partition, std::uint64_t follow_token) {
  constexpr std::size_t kWholeStream = 1'000'000;
  world_.log().read(options_.name, checkpoint_stream(partition), 0, kWholeStream,
                    guard<std::optional<LogPage>>([this, partition, follow_token](
                                                      const std::optional<LogPage>& page) {
                      if (!follows(partition, follow_token)) {
                        return;
                      }
                      if (!page) {
                        world_.events().after(kRetryPause, guarded([this, partition, follow_token] {
                                                if (follows(partition, follow_token)) {
                                                  load_checkpoint(partition, follow_token);
                                                }
                                              }));
                        return;
                      }
                      controller_->checkpoint_loaded(partition, assemble_checkpoint(page->records));
                      read_partition(partition, follow_token);
                    }));
}

void SimNode::read_partition(int partition, std::uint64_t follow_token) {
  const TimePoint started = local_now();
  const std::uint64_t next = controller_->next_offset(partition);
  world_.log().read(options_.name, job_stream(partition), next, kPageRecords,
                    guard<std::optional<LogPage>>([this, partition, follow_token, started,
                                                   next](const std::optional<LogPage>& page) {
                      if (!follows(partition, follow_token)) {
                        return;
                      }
                      if (!page) {
                        world_.events().after(kRetryPause, guarded([this, partition, follow_token] {
                                                if (follows(partition, follow_token)) {
                                                  read_partition(partition, follow_token);
                                                }
                                              }));
                        return;
                      }
                      const bool at_tail = next + page->records.size() >= page->end;
                      controller_->partition_read(partition, page->first, page->records, at_tail,
                                                  started, local_now());
                      read_partition(partition, follow_token);
                    }));
}

void SimNode::append(int partition, const PartitionRecord& record) {
  enqueue_append(job_stream(partition), encode(record));
}

void SimNode::write_checkpoint(int partition, Offset covers, std::string snapshot) {
  for (std::string& record : make_checkpoint_records(covers, generation_, snapshot,
                                                     options_.knobs.checkpoint_chunk_bytes)) {
    enqueue_append(checkpoint_stream(partition), std::move(record));
  }
}

void SimNode::append_configuration(const ConfigurationChange& change) {
  enqueue_append(kConfigurationStreamName, pack(change));
}

void SimNode::enqueue_append(const std::string& stream, std::string record) {
  append_queues_[stream].push_back(std::move(record));
  if (!appending_.contains(stream)) {
    write_next(stream);
  }
}

void SimNode::write_next(const std::string& stream) {
  std::deque<std::string>& queue = append_queues_[stream];
  if (queue.empty()) {
    appending_.erase(stream);
    return;
  }
  appending_.insert(stream);
  const std::vector<std::string> records(queue.begin(), queue.end());
  world_.log().append(
      options_.name, stream, records,
      guard<std::optional<std::uint64_t>>(
          [this, stream, count = records.size()](const std::optional<std::uint64_t>& offset) {
            if (offset || !options_.knobs.mechanisms.append_retries) {
              std::deque<std::string>& written = append_queues_[stream];
              written.erase(written.begin(), written.begin() + static_cast<std::ptrdiff_t>(count));
              write_next(stream);
            } else {
              world_.events().after(kRetryPause, guarded([this, stream] { write_next(stream); }));
            }
          }));
}

// Online requests.

void SimNode::online(const OnlineSpec& spec, OnlineReply reply) {
  run(generation_, [this, spec, reply = std::move(reply)] {
    if (draining_) {
      reply.failed(Error{ResultCode::kDraining,
                         "this node is stopping",
                         {},
                         RunState::kNotRun,
                         std::chrono::seconds(1)});
      return;
    }
    const RequestNumber number = next_request_++;
    OnlineCall& call = calls_[number];
    call.spec = spec;
    call.reply = reply;
    if (spec.repeatable || spec.key.empty() || !options_.knobs.mechanisms.online_attempt_records) {
      submit_online(number);
      return;
    }
    call.ticket = {
        hash128_hex(spec.tenant + "\n" + spec.key),
        options_.name + "-" + std::to_string(generation_) + "-" + std::to_string(number)};
    record_attempt(call.ticket, 0, [this, number](const std::optional<Error>& error) {
      const auto found = calls_.find(number);
      if (found == calls_.end()) {
        return;
      }
      if (!error) {
        submit_online(number);
        return;
      }
      const OnlineReply failed = found->second.reply;
      calls_.erase(found);
      failed.failed(*error);
    });
  });
}

void SimNode::submit_online(RequestNumber number) {
  const OnlineCall& call = calls_.at(number);
  OnlineRequest request;
  request.number = number;
  request.service = call.spec.service;
  request.tenant = call.spec.tenant;
  request.prefix_key = hash64(call.spec.prompt.substr(0, 4));
  request.estimated_tokens = call.spec.tokens;
  request.repeatable = call.spec.repeatable;
  request.deadline = local_now() + call.spec.deadline;
  controller_->submit_online(request, local_now());
}

void SimNode::start_attempt(RequestNumber request, const EngineConfig& engine, int priority) {
  // The decision logic must not be called back from within its own call.
  world_.events().after(Duration{0}, guarded([this, request, engine, priority] {
                          const auto found = calls_.find(request);
                          if (found == calls_.end()) {
                            return;
                          }
                          OnlineCall& call = found->second;
                          ++call.attempts;
                          call.engine = engine.name;
                          call.attempt_id = options_.name + "-" + std::to_string(generation_) +
                                            "-" + std::to_string(request) + "-a" +
                                            std::to_string(call.attempts);
                          send_to_engine(engine.name, call.attempt_id, call, request, priority);
                        }));
}

void SimNode::send_to_engine(const std::string& engine, const std::string& id,
                             const OnlineCall& call, RequestNumber request, int) {
  SimEngine* target = world_.engine(engine);
  const auto end = [this, request, id](AttemptEnd how) {
    return guarded([this, request, id, how] { attempt_ended(request, id, how); });
  };
  if (target == nullptr) {
    end(AttemptEnd::kNotSent)();
    return;
  }
  EngineRequest sent;
  sent.id = id;
  sent.subject = call.spec.key.empty() ? call.spec.name : call.spec.key;
  sent.prompt = call.spec.prompt;
  sent.tokens = call.spec.tokens;
  EngineListener listener;
  const auto back = [this, target](std::function<void()> action, std::function<void()> broken) {
    world_.network().message(target->place(), place(), std::move(action), std::move(broken));
  };
  const std::function<void()> lost = end(AttemptEnd::kUnknown);
  listener.first_token = [this, back, request, id, lost] {
    back(guarded([this, request, id] {
           const auto found = calls_.find(request);
           if (found != calls_.end() && found->second.attempt_id == id) {
             found->second.first_token = true;
             found->second.reply.first_token();
           }
         }),
         lost);
  };
  listener.completed = [this, back, request, id, end, lost](const std::string& answer) {
    back(guarded([this, request, id, answer, end] {
           const auto found = calls_.find(request);
           if (found == calls_.end() || found->second.attempt_id != id) {
             return;
           }
           found->second.reply.answered(answer);
           attempt_ended(request, id, AttemptEnd::kCompleted);
         }),
         lost);
  };
  listener.broken = [back, lost] { back(lost, lost); };
  world_.network().message(
      place(), target->place(),
      [this, target, sent, listener, back, end, lost] {
        if (!target->up()) {
          back(end(AttemptEnd::kNotSent), lost);
        } else if (!target->frozen() && !target->submit(sent, listener)) {
          back(end(AttemptEnd::kRefused), lost);
        }
      },
      end(AttemptEnd::kNotSent));
  world_.events().after(call.spec.deadline, guarded([this, request, id, target] {
                          const auto found = calls_.find(request);
                          if (found != calls_.end() && found->second.attempt_id == id) {
                            target->cancel(id);
                            attempt_ended(request, id, AttemptEnd::kDeadline);
                          }
                        }));
}

void SimNode::attempt_ended(RequestNumber request, const std::string& attempt_id, AttemptEnd end) {
  const auto found = calls_.find(request);
  if (found == calls_.end() || found->second.attempt_id != attempt_id) {
    return;
  }
  OnlineCall& call = found->second;
  call.attempt_id.clear();
  const bool partly = end == AttemptEnd::kUnknown && call.first_token;
  if (end == AttemptEnd::kCompleted) {
    calls_.erase(found);
  }
  controller_->online_attempt_ended(request, partly ? AttemptEnd::kInterrupted : end, local_now());
}

void SimNode::refuse(RequestNumber request, const Error& error) {
  world_.events().after(Duration{0}, guarded([this, request, error] {
                          const auto found = calls_.find(request);
                          if (found == calls_.end()) {
                            return;
                          }
                          const OnlineCall call = std::move(found->second);
                          calls_.erase(found);
                          if (!call.ticket.key.empty() && error.run == RunState::kNotRun) {
                            withdraw_attempt(call.ticket, 0);
                          }
                          call.reply.failed(error);
                        }));
}

bool SimNode::forward(int partition, int forwards, const std::function<void(SimNode&)>& send,
                      const std::function<void(const Error&)>& failed) {
  const OwnerHint owner = controller_->owner_of(partition);
  if (owner.is_self) {
    return false;
  }
  SimNode* target = world_.node_at_api_address(owner.api_address);
  if (target == nullptr || forwards >= kMaximumForwards) {
    failed(not_owner());
    return true;
  }
  const auto refused = guard<Error>([failed](const Error& error) { failed(error); });
  world_.network().message(
      place(), target->place(),
      [target, send, refused] {
        if (target->up()) {
          send(*target);
        } else {
          refused(not_owner());
        }
      },
      [refused] {
        refused(Error{ResultCode::kPeerUnreachable,
                      "no answer",
                      {},
                      RunState::kUnknown,
                      std::chrono::seconds(1)});
      });
  return true;
}

void SimNode::record_attempt(const AttemptTicket& ticket, int forwards, AttemptReply reply) {
  run(generation_, [this, ticket, forwards, reply = std::move(reply)] {
    const int partition =
        partition_of(ticket.key, controller_->configuration().config()->partitions);
    auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, reply](const std::optional<Error>& error) {
      if (!std::exchange(*answered, true)) {
        reply(error);
      }
    };
    const auto give_up = guarded([this, answered, answer, ticket] {
      if (!*answered) {
        withdraw_attempt(ticket, 0);
        answer(unconfirmed(RunState::kNotRun));
      }
    });
    world_.events().after(kConfirmationWait, give_up);
    const auto back = guard<std::optional<Error>>(answer);
    const bool passed_on = forward(
        partition, forwards,
        [this, ticket, forwards, back](SimNode& owner) {
          owner.record_attempt(ticket, forwards + 1,
                               [this, &owner, back](const std::optional<Error>& error) {
                                 world_.network().message(
                                     owner.place(), place(), [back, error] { back(error); }, [] {});
                               });
        },
        [answer](const Error& error) { answer(error); });
    if (passed_on) {
      return;
    }
    const std::optional<Error> refused =
        controller_->record_online_attempt(ticket, local_now(), [answer](RecordVerdict verdict) {
          if (verdict == RecordVerdict::kTaken) {
            answer(std::nullopt);
          } else if (verdict == RecordVerdict::kRepeated) {
            answer(Error{
                ResultCode::kAlreadyAttempted, "already attempted", {}, RunState::kUnknown, {}});
          } else {
            answer(not_owner());
          }
        });
    if (refused) {
      answer(refused);
    }
  });
}

void SimNode::withdraw_attempt(const AttemptTicket& ticket, int forwards) {
  run(generation_, [this, ticket, forwards] {
    if (controller_->withdraw_online_attempt(ticket, local_now())) {
      return;
    }
    const int partition =
        partition_of(ticket.key, controller_->configuration().config()->partitions);
    forward(
        partition, forwards,
        [ticket, forwards](SimNode& owner) { owner.withdraw_attempt(ticket, forwards + 1); },
        [](const Error&) {});
  });
}

// Batch.

void SimNode::dispatch_item(const ItemDispatch& item) {
  const std::string id = item.job + "-" + std::to_string(item.item) + "-e" +
                         std::to_string(item.epoch) + "-a" + std::to_string(item.attempt) + "-" +
                         options_.name + std::to_string(generation_);
  ItemOutcome outcome;
  outcome.partition = item.partition;
  outcome.job = item.job;
  outcome.item = item.item;
  outcome.engine = item.engine;
  outcome.attempt = item.attempt;
  outcome.custom_id = "item-" + std::to_string(item.item);
  items_under_way_[id] = item.engine;
  SimEngine* target = world_.engine(item.engine);
  const auto end = [this, outcome, id](ItemEnd how) {
    return guarded([this, outcome, id, how] {
      ItemOutcome ended = outcome;
      ended.end = how;
      end_item(ended, id);
    });
  };
  EngineRequest request;
  request.id = id;
  request.subject = item.job + "/" + std::to_string(item.item);
  request.prompt = item_prompt(item.input_file_id, item.item);
  request.tokens = world_.file_tokens(item.input_file_id);
  request.batch_class = options_.knobs.mechanisms.batch_priority;
  request.is_batch = true;
  const auto back = [this, target](std::function<void()> action, std::function<void()> broken) {
    world_.network().message(target->place(), place(), std::move(action), std::move(broken));
  };
  const std::function<void()> lost = end(ItemEnd::kUnknown);
  EngineListener listener;
  listener.first_token = [] {};
  listener.completed = [this, back, outcome, id, lost](const std::string& answer) {
    back(guarded([this, outcome, id, answer] {
           ItemOutcome ended = outcome;
           ended.end = ItemEnd::kAnswered;
           ended.status = 200;
           ended.body = answer;
           end_item(ended, id);
         }),
         lost);
  };
  listener.broken = [back, lost] { back(lost, lost); };
  world_.events().after(Duration{0}, [this, target, request, listener, back, end, lost] {
    world_.network().message(
        place(), target->place(),
        [target, request, listener, back, end, lost] {
          if (!target->up()) {
            back(end(ItemEnd::kNotSent), lost);
          } else if (!target->frozen() && !target->submit(request, listener)) {
            back(end(ItemEnd::kRefused), lost);
          }
        },
        end(ItemEnd::kNotSent));
  });
  world_.events().after(kItemTimeout, lost);
}

void SimNode::end_item(ItemOutcome outcome, const std::string& request_id) {
  if (items_under_way_.erase(request_id) == 0) {
    return;  // It ended before: a late answer after the timeout, say.
  }
  if (cancelled_items_.erase(request_id) > 0 && outcome.end != ItemEnd::kAnswered) {
    outcome.end = ItemEnd::kYielded;
  }
  controller_->item_ended(outcome, local_now(), wall_clock());
}

void SimNode::cancel_item(int, const std::string& job, ItemIndex item) {
  const std::string prefix = job + "-" + std::to_string(item) + "-e";
  for (const auto& [id, engine] : items_under_way_) {
    if (id.starts_with(prefix)) {
      cancelled_items_.insert(id);
      SimEngine* target = world_.engine(engine);
      world_.network().message(
          place(), target->place(), [target, request = id] { target->cancel(request); }, [] {});
    }
  }
}

void SimNode::create_job(JobSpec job, int forwards, JobReply reply) {
  run(generation_, [this, job = std::move(job), forwards, reply = std::move(reply)] {
    if (draining_) {
      reply({}, Error{ResultCode::kDraining,
                      "this node is stopping",
                      {},
                      RunState::kNotRun,
                      std::chrono::seconds(1)});
      return;
    }
    const int partition =
        partition_of_job(job.id, controller_->configuration().config()->partitions);
    if (controller_->configuration().current().revision == 0 || partition < 0) {
      reply({}, not_owner());
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, reply](const std::string& id,
                                          const std::optional<Error>& error) {
      if (!std::exchange(*answered, true)) {
        reply(id, error);
      }
    };
    world_.events().after(kConfirmationWait,
                          guarded([answer] { answer({}, unconfirmed(RunState::kUnknown)); }));
    const bool passed_on = forward(
        partition, forwards,
        [this, job, forwards, answer](SimNode& owner) {
          owner.create_job(
              job, forwards + 1,
              [this, &owner, answer](const std::string& id, const std::optional<Error>& error) {
                world_.network().message(
                    owner.place(), place(), [answer, id, error] { answer(id, error); }, [] {});
              });
        },
        [answer](const Error& error) { answer({}, error); });
    if (passed_on) {
      return;
    }
    const std::string id = job.id;
    const std::optional<Error> refused =
        controller_->accept_job(job, local_now(), [answer, id](RecordVerdict verdict) {
          if (verdict == RecordVerdict::kTaken || verdict == RecordVerdict::kRepeated) {
            answer(id, std::nullopt);
          } else {
            answer({}, not_owner());
          }
        });
    if (refused) {
      answer({}, refused);
    }
  });
}

void SimNode::cancel_job(const std::string& id, int forwards, JobReply reply) {
  run(generation_, [this, id, forwards, reply = std::move(reply)] {
    const int partition = partition_of_job(id, controller_->configuration().config()->partitions);
    const bool passed_on = forward(
        partition, forwards,
        [this, id, forwards, reply](SimNode& owner) {
          owner.cancel_job(
              id, forwards + 1,
              [this, &owner, reply](const std::string& job, const std::optional<Error>& error) {
                world_.network().message(
                    owner.place(), place(), [reply, job, error] { reply(job, error); }, [] {});
              });
        },
        [reply](const Error& error) { reply({}, error); });
    if (passed_on) {
      return;
    }
    const JobState* job = controller_->find_job(id);
    if (job == nullptr || job->status() == JobStatus::kCompleted) {
      reply({}, Error{job == nullptr ? ResultCode::kNotFound : ResultCode::kConflict,
                      "",
                      {},
                      RunState::kNotRun,
                      {}});
      return;
    }
    const std::optional<Error> refused =
        controller_->cancel_job(id, local_now(), wall_clock(), [reply, id](RecordVerdict verdict) {
          const bool known = verdict != RecordVerdict::kUnknownJob;
          reply(id, known ? std::nullopt
                          : std::optional<Error>(Error{ResultCode::kNotFound, "unknown job"}));
        });
    if (refused) {
      reply({}, refused);
    }
  });
}

void SimNode::apply(const ConfigurationChange& change, ChangeReply reply) {
  run(generation_, [this, change, reply = std::move(reply)] {
    controller_->propose_configuration(change, reply);
  });
}

}  // namespace dockpoint::simulation
