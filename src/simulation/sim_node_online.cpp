#include "dockpoint/core/hash.hpp"
#include "simulation/sim_node.hpp"
#include "simulation/sim_node_internal.hpp"
#include "simulation/world.hpp"

/// Online part of `SimNode`: handles online requests like the daemon's HTTP handlers.
namespace dockpoint::simulation {

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

void SimNode::start_attempt(RequestNumber request, const EngineConfig& engine, int) {
  // Runs as a separate event, because the controller must not be re-entered from its own call.
  world_.events().after(Duration{0}, guarded([this, request, engine] {
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
                          send_to_engine(engine.name, call.attempt_id, call, request);
                        }));
}

void SimNode::send_to_engine(const std::string& engine, const std::string& id,
                             const OnlineCall& call, RequestNumber request) {
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
  const auto send_back = [this, target](std::function<void()> action,
                                        std::function<void()> broken) {
    world_.network().message(target->location(), location(), std::move(action), std::move(broken));
  };
  const std::function<void()> lost = end(AttemptEnd::kUnknown);
  listener.first_token = [this, send_back, request, id, lost] {
    send_back(guarded([this, request, id] {
                const auto found = calls_.find(request);
                if (found != calls_.end() && found->second.attempt_id == id) {
                  found->second.first_token = true;
                  found->second.reply.first_token();
                }
              }),
              lost);
  };
  listener.completed = [this, send_back, request, id, end, lost](const std::string& answer) {
    send_back(guarded([this, request, id, answer, end] {
                const auto found = calls_.find(request);
                if (found == calls_.end() || found->second.attempt_id != id) {
                  return;
                }
                found->second.reply.answered(answer);
                attempt_ended(request, id, AttemptEnd::kCompleted);
              }),
              lost);
  };
  listener.broken = [send_back, lost] { send_back(lost, lost); };
  world_.network().message(
      location(), target->location(),
      [this, target, sent, listener, send_back, end, lost] {
        if (!target->up()) {
          send_back(end(AttemptEnd::kNotSent), lost);
        } else if (!target->frozen() && !target->submit(sent, listener)) {
          send_back(end(AttemptEnd::kRefused), lost);
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
  const bool partially_streamed = end == AttemptEnd::kUnknown && call.first_token;
  if (end == AttemptEnd::kCompleted) {
    calls_.erase(found);
  }
  controller_->online_attempt_ended(request, partially_streamed ? AttemptEnd::kInterrupted : end,
                                    local_now());
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
    const auto send_back = guard<std::optional<Error>>(answer);
    const bool forwarded = forward(
        partition, forwards,
        [this, ticket, forwards, send_back](SimNode& owner) {
          owner.record_attempt(
              ticket, forwards + 1, [this, &owner, send_back](const std::optional<Error>& error) {
                world_.network().message(
                    owner.location(), location(), [send_back, error] { send_back(error); }, [] {});
              });
        },
        [answer](const Error& error) { answer(error); });
    if (forwarded) {
      return;
    }
    const std::optional<Error> refused =
        controller_->record_online_attempt(ticket, local_now(), [answer](RecordVerdict verdict) {
          if (verdict == RecordVerdict::kApplied) {
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

}  // namespace dockpoint::simulation
