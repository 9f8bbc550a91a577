#include "simulation/sim_engine.hpp"

namespace dockpoint::simulation {
namespace {

constexpr Duration kResetDelay{1'000};

}  // namespace

SimEngine::SimEngine(Options options, EventQueue& events, History& history)
    : options_(std::move(options)), events_(events), history_(history) {
  restart();
}

void SimEngine::restart() {
  up_ = true;
  frozen_ = false;
  leaving_ = false;
  ++generation_;
  incarnation_ = static_cast<std::uint64_t>(events_.now().time_since_epoch().count()) + 1;
  report_sequence_ = 0;
  model_ = std::make_unique<emulator::EngineModel>(options_.parameters);
  listeners_.clear();
  step_scheduled_ = false;
  refresh_report();
}

void SimEngine::kill() {
  if (!up_) {
    return;
  }
  up_ = false;
  ++generation_;
  std::map<std::string, EngineListener> listeners;
  listeners.swap(listeners_);
  for (auto& [id, listener] : listeners) {
    events_.after(kResetDelay, listener.broken);
  }
  history_.trace(events_.now(), "engine " + options_.name + " dies");
}

void SimEngine::wake() {
  frozen_ = false;
  schedule_step();
}

bool SimEngine::submit(const EngineRequest& request, EngineListener listener) {
  emulator::SequenceRequest sequence;
  sequence.id = request.id;
  sequence.prompt = request.prompt;
  sequence.answer_tokens = request.tokens;
  sequence.batch = request.batch_class;
  if (listeners_.contains(request.id) || !model_->submit(std::move(sequence))) {
    return false;
  }
  history_.starts.push_back({events_.now(), options_.name, request.subject, request.is_batch});
  history_.trace(events_.now(), "engine " + options_.name + " starts " + request.id);
  listener.prompt = request.prompt;
  listeners_[request.id] = std::move(listener);
  schedule_step();
  return true;
}

void SimEngine::cancel(const std::string& id) {
  const auto found = listeners_.find(id);
  if (!up_ || found == listeners_.end()) {
    return;
  }
  model_->cancel(id);
  events_.after(kResetDelay, found->second.broken);
  listeners_.erase(found);
}

std::optional<EngineLoad> SimEngine::reported_load() const {
  if (!up_ || frozen_) {
    return std::nullopt;
  }
  return report_;
}

void SimEngine::schedule_step() {
  if (step_scheduled_ || !up_ || frozen_ || model_->idle()) {
    return;
  }
  step_scheduled_ = true;
  const emulator::StepResult step = model_->step();
  events_.after(step.duration, [this, step, generation = generation_] {
    if (generation != generation_) {
      return;
    }
    step_scheduled_ = false;
    for (const emulator::TokenEvent& token : step.tokens) {
      const auto found = listeners_.find(token.sequence);
      if (found == listeners_.end()) {
        continue;
      }
      if (token.index == 0) {
        found->second.first_token();
      }
      if (token.last) {
        const EngineListener listener = std::move(found->second);
        listeners_.erase(found);
        listener.completed(answer_for_prompt(listener.prompt));
      }
    }
    schedule_step();
  });
}

void SimEngine::refresh_report() {
  report_ = model_->load();
  report_.incarnation = incarnation_;
  report_.sequence = ++report_sequence_;
  report_.leaving = leaving_;
  events_.after(options_.report_interval, [this, generation = generation_] {
    if (generation == generation_) {
      refresh_report();
    }
  });
}

}  // namespace dockpoint::simulation
