#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "dockpoint/core/mechanisms.hpp"
#include "dockpoint/core/result_code.hpp"
#include "dockpoint/log/freshness_budget.hpp"
#include "gateway/gateway_metrics.hpp"
#include "node/metrics.hpp"
#include "node/settings.hpp"
#include "simulation/checkers.hpp"

/// The pages agree with the code: each list in one stands in the other.
using namespace dockpoint;

namespace {

std::string read_page(const std::string& name) {
  std::ifstream file(std::string(DOCKPOINT_SOURCE_DIR) + "/docs/" + name);
  BOOST_REQUIRE(file.good());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// @return the first cells, without back ticks, of the rows whose first cell starts with `prefix`.
std::set<std::string> first_cells(const std::string& page, const std::string& prefix) {
  std::set<std::string> cells;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const std::string start = "| `" + prefix;
    if (line.starts_with(start)) {
      const std::size_t begin = 3;
      cells.insert(line.substr(begin, line.find('`', begin) - begin));
    }
  }
  return cells;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(docs)

BOOST_AUTO_TEST_CASE(every_setting_has_a_row) {
  const std::string page = read_page("SETTINGS.md");
  std::set<std::string> keys;
  for (const SettingInfo& info : setting_table()) {
    keys.insert(info.key);
    const std::string row = "| `" + info.key + "` | `--" + info.flag + "` | " +
                            (info.fallback.empty() ? "required" : "`" + info.fallback + "`") +
                            " | " + info.help + " |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
  BOOST_TEST((first_cells(page, "") == keys));
}

BOOST_AUTO_TEST_CASE(every_metric_of_the_gateway_has_a_row) {
  GatewayMetrics metrics;
  metrics.count_request("idempotent", "answered");
  metrics.observe_first_byte("idempotent", std::chrono::milliseconds(1));
  metrics.observe_wait("idempotent", {"0", {}});
  metrics.count_attempt("failed");
  metrics.count_placement(true);
  metrics.count_full_replica();
  metrics.set_pace_classes({{PaceClass::kSlow, 1}});
  metrics.set_software_versions({{{"lm", "v1"}, 1}});
  metrics.count_resumption("own_record");
  metrics.count_item("succeeded");
  metrics.count_broken_runs("unknown", 1);
  metrics.count_doubtful_end("doubtful");
  metrics.count_endless_answer("bytes_without_event");
  metrics.count_malformed_answer("status");
  metrics.count_foreign_answer("batch");
  metrics.count_client_evicted("buffers");
  metrics.count_quarantined("streaming");
  metrics.count_rate_limited("clinic", "node_share");
  metrics.count_caller_refused("unknown_key");
  metrics.count_log_call("read", "ok");
  metrics.count_settled_append("written");
  std::set<std::string> served;
  std::istringstream lines(metrics.text());
  const std::string type = "# TYPE ";
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(type)) {
      served.insert(line.substr(type.size(), line.find(' ', type.size()) - type.size()));
    }
  }
  std::set<std::string> listed;
  for (const std::string& cell : first_cells(read_page("PLATFORM.md"), "dockpoint_gateway_")) {
    listed.insert(cell.substr(0, cell.find('{')));
  }
  BOOST_TEST(served.size() == 33U);
  BOOST_TEST((served == listed));
}

BOOST_AUTO_TEST_CASE(the_table_of_waits_is_that_of_the_freshness_budget) {
  const std::string page = read_page("PLATFORM.md");
  const auto check_row = [&](const std::string& name, auto&& wait) {
    std::string row = "| `" + name + "` |";
    for (const int bound_ms : {500, 2'000, 15'000}) {
      const FreshnessBudget budget{std::chrono::milliseconds(bound_ms)};
      row += " " + std::to_string(to_ms(wait(budget))) + " |";
    }
    BOOST_TEST(page.find(row) != std::string::npos, row);
  };
  constexpr int kManyFailures = 9;
  check_row("lone_wait", [](const auto& budget) { return budget.lone_wait(); });
  check_row("longest_wait_12", [](const auto& budget) { return budget.longest_wait(11); });
  check_row("longest_wait_295", [](const auto& budget) { return budget.longest_wait(294); });
  check_row("read_limit", [](const auto& budget) { return budget.read_limit(0); });
  check_row("longest_read_limit",
            [](const auto& budget) { return budget.read_limit(kManyFailures); });
  check_row("first_pause", [](const auto& budget) { return budget.longest_pause(1); });
  check_row("longest_pause",
            [](const auto& budget) { return budget.longest_pause(kManyFailures); });
  check_row("peer_lag", [](const auto& budget) { return budget.peer_lag(); });
  check_row("question_limit", [](const auto& budget) { return budget.question_limit(); });
  check_row("question_interval", [](const auto& budget) { return budget.question_interval(); });
  check_row("greatest_age_following",
            [](const auto& budget) { return budget.greatest_age_following(0); });
  check_row("greatest_age_asking", [](const auto& budget) { return budget.greatest_age_asking(); });
}

BOOST_AUTO_TEST_CASE(every_result_code_has_a_row) {
  const std::string page = read_page("RESULT_CODES.md");
  std::size_t rows = 0;
  for (const ResultCodeInfo& info : result_code_table()) {
    const std::string row = "| " + std::to_string(static_cast<int>(info.code)) + " | `" +
                            std::string(info.name) + "` | " + std::to_string(info.http_status) +
                            " | " + (info.retry_after ? "yes" : "no") + " | " +
                            std::string(info.meaning) + " |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
    ++rows;
  }
  std::size_t found = 0;
  for (std::size_t at = page.find(" | `"); at != std::string::npos;
       at = page.find(" | `", at + 1)) {
    ++found;
  }
  BOOST_TEST(found == rows);
}

BOOST_AUTO_TEST_CASE(every_metric_has_a_row) {
  const std::string page = read_page("OPERATIONS.md");
  std::set<std::string> names;
  for (const MetricInfo& info : metric_table()) {
    names.insert(info.name);
    const std::string row = "| `" + info.name + "` | " + info.type + " | " + info.help + " |";
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
  BOOST_TEST((first_cells(page, "dockpoint_") == names));
}

BOOST_AUTO_TEST_CASE(every_fault_kind_and_configuration_field_has_a_row) {
  const std::string scenarios = read_page("SCENARIOS.md");
  for (const std::string& kind : simulation::fault_kinds()) {
    BOOST_TEST(scenarios.find("`" + kind + "`") != std::string::npos, kind);
  }
  const std::string configuration = read_page("CONFIGURATION.md");
  for (const char* field :
       {"partitions", "engines[].name", "engines[].address", "engines[].model", "engines[].slots",
        "engines[].labels", "engines[].draining", "services[].name", "services[].model",
        "services[].selector", "services[].priority", "tenants[].name", "tenants[].weight",
        "limits.online_queue_per_node", "limits.retry_budget_percent", "limits.default_deadline_ms",
        "limits.maximum_batch_items", "limits.batch_reserve_percent"}) {
    BOOST_TEST(first_cells(configuration, "").contains(field), field);
  }
}

BOOST_AUTO_TEST_CASE(every_mechanism_can_be_switched_off) {
  for (const MechanismInfo& info : mechanism_table()) {
    Mechanisms mechanisms;
    BOOST_TEST(switch_off(mechanisms, info.name));
    BOOST_TEST(!(mechanisms.*(info.flag)));
  }
  Mechanisms mechanisms;
  BOOST_TEST(!switch_off(mechanisms, "hope"));
}

BOOST_AUTO_TEST_SUITE_END()
