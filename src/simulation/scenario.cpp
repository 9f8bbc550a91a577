#include "simulation/scenario.hpp"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint::simulation {
namespace {

constexpr std::int64_t kMaxMilliseconds = 86'400'000;  // One day

const std::vector<std::string>& process_actions() {
  static const std::vector<std::string> actions{"kill", "restart", "freeze",
                                                "wake", "drain",   "leave"};
  return actions;
}

/// Reads a time in whole milliseconds and returns it in seconds.
double read_seconds(ObjectReader& reader, const std::string& key, double fallback) {
  const auto fallback_ms = static_cast<std::int64_t>(fallback * 1000);
  return static_cast<double>(reader.integer(key, {0, kMaxMilliseconds}, fallback_ms)) / 1000.0;
}

int read_int(ObjectReader& reader, const std::string& key, IntegerRange range, int fallback) {
  return static_cast<int>(reader.integer(key, range, fallback));
}

void read_deployment(ObjectReader& reader, Scenario& scenario) {
  Deployment& deployment = scenario.deployment;
  scenario.seed = static_cast<std::uint64_t>(reader.integer("seed", {}, 1));
  deployment.nodes = read_int(reader, "nodes", {1, 1000}, deployment.nodes);
  deployment.engines = read_int(reader, "engines", {1, 1000}, deployment.engines);
  deployment.zones = read_int(reader, "zones", {1, 100}, deployment.zones);
  deployment.slots = read_int(reader, "slots", {1, 1000}, deployment.slots);
  deployment.partitions = read_int(reader, "partitions", {1, 4096}, deployment.partitions);
  deployment.step_us = read_int(reader, "step_us", {1, 10'000'000}, deployment.step_us);
  deployment.list_lag_ms = read_int(reader, "list_lag_ms", {0, 600'000}, deployment.list_lag_ms);
  deployment.clock_spread_percent =
      read_int(reader, "clock_spread_percent", {0, 10}, deployment.clock_spread_percent);
}

SubmitStep read_submit(ObjectReader& reader) {
  SubmitStep step;
  step.job = reader.required_text("job");
  step.items = static_cast<std::uint32_t>(reader.integer("items", {1, 1'000'000}, step.items));
  step.tokens = read_int(reader, "tokens", {1, 100'000}, step.tokens);
  step.repeatable = reader.boolean("repeatable", true);
  step.tenant = reader.text("tenant", step.tenant);
  step.priority = read_int(reader, "priority", {0, 100}, 0);
  step.window_seconds = reader.integer("window_s", {1, 1'209'600}, step.window_seconds);
  step.through = reader.text("through", step.through);
  return step;
}

OnlineStep read_online(ObjectReader& reader) {
  OnlineStep step;
  step.name = reader.text("name", step.name);
  step.rate = read_int(reader, "rate", {1, 100'000}, 10);
  step.seconds = read_seconds(reader, "for_ms", 10);
  step.tokens = read_int(reader, "tokens", {1, 100'000}, step.tokens);
  step.tenant = reader.text("tenant", step.tenant);
  step.repeatable = reader.boolean("repeatable", true);
  step.keys = reader.boolean("keys", false);
  step.resend = reader.boolean("resend", false);
  step.deadline_ms = read_int(reader, "deadline_ms", {1, 3'600'000}, step.deadline_ms);
  step.through = reader.text("through", step.through);
  return step;
}

FaultStep read_fault(ObjectReader& reader) {
  FaultStep step;
  step.kind = reader.choice("kind", fault_kinds(), fault_kinds().front());
  step.value = read_int(reader, "value", {0, 600'000}, 0);
  step.from = reader.text("from");
  step.to = reader.text("to");
  step.both_ways = reader.boolean("both_ways", false);
  step.target = reader.text("target");
  if (step.kind == "network_cut" && (step.from.empty() || step.to.empty())) {
    reader.report("from", "and to are required for network_cut");
  }
  if (step.kind == "log_unreachable" && step.target.empty()) {
    reader.report("target", "is required for log_unreachable");
  }
  return step;
}

std::optional<StepAction> read_action(const std::string& verb, ObjectReader& reader) {
  if (verb == "submit") {
    return read_submit(reader);
  }
  if (verb == "online") {
    return read_online(reader);
  }
  if (verb == "fault") {
    return read_fault(reader);
  }
  if (verb == "heal") {
    return HealStep{};
  }
  if (verb == "resend") {
    return ResendStep{reader.required_text("job"), reader.required_text("through")};
  }
  if (verb == "cancel") {
    return CancelStep{reader.required_text("job"), reader.text("through", "node-1")};
  }
  if (verb == "apply") {
    return ApplyStep{reader.required_text("tag"), reader.text("through", "node-1"),
                     reader.integer("base", {-1, 1'000'000}, -1)};
  }
  if (verb == "expect") {
    ExpectStep step;
    if (reader.has("node")) {
      step.node = reader.required_text("node");
      step.revision = reader.required_integer("revision", {0, 1'000'000});
      return step;
    }
    step.job = reader.required_text("job");
    step.status = reader.choice("status", {"in_progress", "completed", "cancelled"}, "completed");
    return step;
  }
  const auto& actions = process_actions();
  if (std::find(actions.begin(), actions.end(), verb) != actions.end()) {
    return ProcessStep{verb, reader.required_text("target")};
  }
  return std::nullopt;
}

void read_line(ObjectReader& reader, Scenario& scenario) {
  const std::string verb = reader.required_text("verb");
  if (verb == "deploy") {
    read_deployment(reader, scenario);
  } else if (verb == "end") {
    scenario.end = read_seconds(reader, "at_ms", scenario.end);
    scenario.settle = read_seconds(reader, "settle_ms", scenario.settle);
  } else if (verb == "check") {
    scenario.checks = reader.texts("properties");
    scenario.fails_without = reader.texts("fails_without");
  } else {
    const double at = read_seconds(reader, "at_ms", 0);
    if (const std::optional<StepAction> action = read_action(verb, reader)) {
      scenario.steps.push_back({at, *action});
    } else {
      reader.report("verb", "is \"" + verb +
                                "\"; deploy, submit, resend, cancel, online, apply, kill, "
                                "restart, freeze, wake, drain, leave, fault, heal, expect, check "
                                "or end is expected");
      return;
    }
  }
  reader.reject_unknown_keys();
}

std::int64_t to_milliseconds(double seconds) {
  return std::llround(seconds * 1000);
}

Poco::JSON::Array::Ptr to_array(const std::vector<std::string>& texts) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const std::string& text : texts) {
    array->add(text);
  }
  return array;
}

/// Builds one line of a scenario file.
class LineWriter {
 public:
  explicit LineWriter(const std::string& verb) : line_(new Poco::JSON::Object(kKeepOrder)) {
    line_->set("verb", verb);
  }
  template <class Value>
  LineWriter& set(const std::string& key, const Value& value) {
    line_->set(key, value);
    return *this;
  }
  LineWriter& at(double seconds) { return set("at_ms", to_milliseconds(seconds)); }
  std::string text() const {
    std::ostringstream out;
    line_->stringify(out);
    return out.str() + "\n";
  }

 private:
  static constexpr int kKeepOrder = Poco::JSON_PRESERVE_KEY_ORDER;
  Poco::JSON::Object::Ptr line_;
};

struct ActionWriter {
  double at = 0;

  std::string operator()(const SubmitStep& step) const {
    return LineWriter("submit")
        .at(at)
        .set("job", step.job)
        .set("items", step.items)
        .set("tokens", step.tokens)
        .set("repeatable", step.repeatable)
        .set("tenant", step.tenant)
        .set("priority", step.priority)
        .set("window_s", step.window_seconds)
        .set("through", step.through)
        .text();
  }
  std::string operator()(const ResendStep& step) const {
    return LineWriter("resend").at(at).set("job", step.job).set("through", step.through).text();
  }
  std::string operator()(const CancelStep& step) const {
    return LineWriter("cancel").at(at).set("job", step.job).set("through", step.through).text();
  }
  std::string operator()(const OnlineStep& step) const {
    return LineWriter("online")
        .at(at)
        .set("name", step.name)
        .set("rate", static_cast<std::int64_t>(step.rate))
        .set("for_ms", to_milliseconds(step.seconds))
        .set("tokens", step.tokens)
        .set("tenant", step.tenant)
        .set("repeatable", step.repeatable)
        .set("keys", step.keys)
        .set("resend", step.resend)
        .set("deadline_ms", step.deadline_ms)
        .set("through", step.through)
        .text();
  }
  std::string operator()(const ApplyStep& step) const {
    return LineWriter("apply")
        .at(at)
        .set("tag", step.tag)
        .set("through", step.through)
        .set("base", step.base)
        .text();
  }
  std::string operator()(const ProcessStep& step) const {
    return LineWriter(step.action).at(at).set("target", step.target).text();
  }
  std::string operator()(const FaultStep& step) const {
    LineWriter writer("fault");
    writer.at(at).set("kind", step.kind).set("value", step.value);
    if (!step.from.empty()) {
      writer.set("from", step.from).set("to", step.to).set("both_ways", step.both_ways);
    }
    if (!step.target.empty()) {
      writer.set("target", step.target);
    }
    return writer.text();
  }
  std::string operator()(const HealStep&) const { return LineWriter("heal").at(at).text(); }
  std::string operator()(const ExpectStep& step) const {
    LineWriter writer("expect");
    writer.at(at);
    if (!step.node.empty()) {
      return writer.set("node", step.node).set("revision", step.revision).text();
    }
    return writer.set("job", step.job).set("status", step.status).text();
  }
};

}  // namespace

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds{
      "log_down",     "log_slow",         "log_lose_answers", "log_unreachable", "network_cut",
      "network_loss", "network_doubling", "network_delay",    "list_stale"};
  return kinds;
}

Result<Scenario> parse_scenario(const std::string& name, const std::string& text) {
  Scenario scenario;
  scenario.name = name;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty() || line.starts_with("//")) {
      continue;
    }
    Problems problems;
    const std::optional<Error> error = error_of([&]() -> Result<void> {
      BOOST_LEAF_AUTO(object, parse_json_object(line));
      ObjectReader reader(object, "", problems);
      read_line(reader, scenario);
      return {};
    });
    const std::string place = name + ":" + std::to_string(number);
    if (error || !problems.empty()) {
      return fail(ResultCode::kMalformedBody,
                  place + ": " + (error ? error->message : summarize(problems)), place);
    }
  }
  return scenario;
}

Result<Scenario> load_scenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(ResultCode::kNotFound, path + ": cannot be read", path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_scenario(path, text.str());
}

std::string to_text(const Scenario& scenario) {
  const Deployment& deployment = scenario.deployment;
  std::string text = LineWriter("deploy")
                         .set("seed", static_cast<std::int64_t>(scenario.seed))
                         .set("nodes", deployment.nodes)
                         .set("engines", deployment.engines)
                         .set("zones", deployment.zones)
                         .set("slots", deployment.slots)
                         .set("partitions", deployment.partitions)
                         .set("step_us", deployment.step_us)
                         .set("list_lag_ms", deployment.list_lag_ms)
                         .set("clock_spread_percent", deployment.clock_spread_percent)
                         .text();
  for (const Step& step : scenario.steps) {
    text += std::visit(ActionWriter{step.at}, step.action);
  }
  if (!scenario.checks.empty() || !scenario.fails_without.empty()) {
    text += LineWriter("check")
                .set("properties", to_array(scenario.checks))
                .set("fails_without", to_array(scenario.fails_without))
                .text();
  }
  text +=
      LineWriter("end").at(scenario.end).set("settle_ms", to_milliseconds(scenario.settle)).text();
  return text;
}

}  // namespace dockpoint::simulation
