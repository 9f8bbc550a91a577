#include "simulation/sim_node.hpp"
#include "simulation/sim_node_internal.hpp"
#include "simulation/world.hpp"

/// Batch part of `SimNode`: sends items to engines and handles job requests.
namespace dockpoint::simulation {
namespace {

constexpr Duration kItemTimeout{30'000'000};

}  // namespace

void SimNode::dispatch_item(const ItemDispatch& item) {
  const std::string id = item.job + "-" + std::to_string(item.item) + "-e" +
                         std::to_string(item.epoch) + "-a" + std::to_string(item.attempt) + "-" +
                         options_.name + std::to_string(generation_);
  ItemOutcome outcome = make_outcome(item, ItemEnd::kUnknown);
  outcome.custom_id = "item-" + std::to_string(item.item);
  items_in_flight_[id] = item.engine;
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
  const auto send_back = [this, target](std::function<void()> action,
                                        std::function<void()> broken) {
    world_.network().message(target->location(), location(), std::move(action), std::move(broken));
  };
  const std::function<void()> lost = end(ItemEnd::kUnknown);
  EngineListener listener;
  listener.first_token = [] {};
  listener.completed = [this, send_back, outcome, id, lost](const std::string& answer) {
    send_back(guarded([this, outcome, id, answer] {
                ItemOutcome ended = outcome;
                ended.end = ItemEnd::kAnswered;
                ended.status = 200;
                ended.body = answer;
                end_item(ended, id);
              }),
              lost);
  };
  listener.broken = [send_back, lost] { send_back(lost, lost); };
  world_.events().after(Duration{0}, [this, target, request, listener, send_back, end, lost] {
    world_.network().message(
        location(), target->location(),
        [target, request, listener, send_back, end, lost] {
          if (!target->up()) {
            send_back(end(ItemEnd::kNotSent), lost);
          } else if (!target->frozen() && !target->submit(request, listener)) {
            send_back(end(ItemEnd::kRefused), lost);
          }
        },
        end(ItemEnd::kNotSent));
  });
  world_.events().after(kItemTimeout, lost);
}

void SimNode::end_item(ItemOutcome outcome, const std::string& request_id) {
  if (items_in_flight_.erase(request_id) == 0) {
    return;  // Already ended, for example by the timeout before a late answer.
  }
  if (cancelled_items_.erase(request_id) > 0 && outcome.end != ItemEnd::kAnswered) {
    outcome.end = ItemEnd::kYielded;
  }
  controller_->item_ended(outcome, local_now(), wall_clock());
}

void SimNode::cancel_item(int, const std::string& job, ItemIndex item) {
  const std::string prefix = job + "-" + std::to_string(item) + "-e";
  for (const auto& [id, engine] : items_in_flight_) {
    if (id.starts_with(prefix)) {
      cancelled_items_.insert(id);
      SimEngine* target = world_.engine(engine);
      world_.network().message(
          location(), target->location(), [target, request = id] { target->cancel(request); },
          [] {});
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
    const bool forwarded = forward(
        partition, forwards,
        [this, job, forwards, answer](SimNode& owner) {
          owner.create_job(
              job, forwards + 1,
              [this, &owner, answer](const std::string& id, const std::optional<Error>& error) {
                world_.network().message(
                    owner.location(), location(), [answer, id, error] { answer(id, error); },
                    [] {});
              });
        },
        [answer](const Error& error) { answer({}, error); });
    if (forwarded) {
      return;
    }
    const std::string id = job.id;
    const std::optional<Error> refused =
        controller_->accept_job(job, local_now(), [answer, id](RecordVerdict verdict) {
          if (verdict == RecordVerdict::kApplied || verdict == RecordVerdict::kRepeated) {
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
    const bool forwarded = forward(
        partition, forwards,
        [this, id, forwards, reply](SimNode& owner) {
          owner.cancel_job(
              id, forwards + 1,
              [this, &owner, reply](const std::string& job, const std::optional<Error>& error) {
                world_.network().message(
                    owner.location(), location(), [reply, job, error] { reply(job, error); },
                    [] {});
              });
        },
        [reply](const Error& error) { reply({}, error); });
    if (forwarded) {
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
