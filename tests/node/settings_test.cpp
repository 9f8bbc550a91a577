#include "node/settings.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace dockpoint;

namespace {

constexpr const char* kValid = R"({
  "node": {"name": "n1", "zone": "z1"},
  "listen": {"api": "127.0.0.1:8101", "peer": "127.0.0.1:8201"},
  "platform": {"log": "127.0.0.1:7001", "machines": "127.0.0.1:7002"},
  "seeds": ["127.0.0.1:8202"],
  "threads": {"http": 64, "batch": 8},
  "limits": {"body_bytes": 65536, "file_bytes": 1048576, "drain_seconds": 5},
  "log": {"level": "warn"}
})";

std::string unique_path() {
  static int count = 0;
  const auto folder = std::filesystem::temp_directory_path();
  const std::string name =
      "dockpoint-settings-" + std::to_string(getpid()) + "-" + std::to_string(++count) + ".json";
  return (folder / name).string();
}

/// Temporary settings file, removed on destruction.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) : path_(unique_path()) {
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string with_replacement(const std::string& from, const std::string& to) {
  std::string text = kValid;
  const std::size_t place = text.find(from);
  BOOST_REQUIRE(place != std::string::npos);
  return text.replace(place, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(flags_override_values_of_a_valid_file) {
  const SettingsFile file(kValid);
  std::optional<Settings> loaded;
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(loaded,
                      load_settings(file.path(), {{"threads.batch", "9"}, {"node.name", "17"}}));
    return {};
  });
  BOOST_TEST_REQUIRE(!error, (error ? error->message : ""));
  BOOST_TEST(loaded->batch_threads == 9);
  BOOST_TEST(loaded->node_name == "17");
  BOOST_TEST(loaded->zone == "z1");
  BOOST_TEST(describe_settings(*loaded).find("threads.batch = 9\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_files_are_rejected_with_file_and_key) {
  const std::vector<std::pair<std::string, std::string>> faults{
      {with_replacement("\"name\": \"n1\", ", ""), "node.name"},
      {with_replacement("\"zone\": \"z1\"", "\"zone\": 5"), "node.zone"},
      {with_replacement("\"http\": 64", "\"http\": 3"), "threads.http"},
      {with_replacement("\"http\": 64", "\"http\": \"64\""), "threads.http"},
      {with_replacement("\"batch\": 8", "\"bach\": 8"), "threads.bach"},
      {with_replacement("\"level\": \"warn\"", "\"level\": \"loud\""), "log.level"},
      {with_replacement("127.0.0.1:8201", "127.0.0.1:8101"), "listen.peer"},
      {with_replacement("127.0.0.1:8101", "127.0.0.1"), "listen.api"},
      {with_replacement("127.0.0.1:7001", "log.example:7001"), "platform.log"},
      {with_replacement("[\"127.0.0.1:8202\"]", "[\"127.0.0.1:8202\",\"127.0.0.1:8202\"]"),
       "seeds"},
      {with_replacement("\"seeds\"", "\"sheds\""), "sheds"},
      {with_replacement("5}", "5.5}"), "limits.drain_seconds"},
      {std::string(kValid).substr(0, 100), ""},
  };
  for (const auto& [text, place] : faults) {
    BOOST_TEST_CONTEXT(text) {
      const SettingsFile file(text);
      const std::optional<Error> error = error_of([&] { return load_settings(file.path(), {}); });
      BOOST_TEST_REQUIRE(error.has_value());
      BOOST_TEST((error->code == ResultCode::kSettingsInvalid));
      BOOST_TEST(error->message.starts_with(file.path() + ": "));
      BOOST_TEST(error->message.find(place) != std::string::npos);
      if (!place.empty()) {
        BOOST_TEST(error->place == place);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(error_for_a_missing_file_names_the_file) {
  const std::optional<Error> error =
      error_of([] { return load_settings("/nonexistent/settings.json", {}); });
  BOOST_TEST_REQUIRE(error.has_value());
  BOOST_TEST(error->message.find("/nonexistent/settings.json") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
