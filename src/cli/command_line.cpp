#include "cli/command_line.hpp"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>

#include "cli/exit_code.hpp"

namespace dockpoint {
namespace {

constexpr int kHelpCode = 1000;
constexpr int kVersionCode = 1001;
constexpr int kFirstOptionCode = 2000;

void print_help(const std::string& usage, const std::vector<CommandOption>& options) {
  constexpr int kNameWidth = 28;
  std::printf("%s\n\nOptions:\n", usage.c_str());
  for (const CommandOption& option : options) {
    const std::string shown =
        "--" + option.name + (option.argument.empty() ? "" : " " + option.argument);
    std::printf("  %-*s %s\n", kNameWidth, shown.c_str(), option.help.c_str());
  }
  std::printf("  %-*s %s\n", kNameWidth, "--help", "Print this help and exit.");
  std::printf("  %-*s %s\n", kNameWidth, "--version", "Print the version and exit.");
}

}  // namespace

std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& usage,
                                            const std::vector<CommandOption>& options) {
  std::vector<::option> table;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const int argument = options[index].argument.empty() ? no_argument : required_argument;
    table.push_back({options[index].name.c_str(), argument, nullptr,
                     kFirstOptionCode + static_cast<int>(index)});
  }
  table.push_back({"help", no_argument, nullptr, kHelpCode});
  table.push_back({"version", no_argument, nullptr, kVersionCode});
  table.push_back({nullptr, 0, nullptr, 0});
  optind = 1;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", table.data(), nullptr)) != -1) {
    if (code == kHelpCode) {
      print_help(usage, options);
      std::exit(kExitOk);
    }
    if (code == kVersionCode) {
      std::printf("%s\n", DOCKPOINT_VERSION);
      std::exit(kExitOk);
    }
    if (code < kFirstOptionCode) {
      usage_error("see --help");
    }
    options[static_cast<std::size_t>(code - kFirstOptionCode)].apply(optarg ? optarg : "");
  }
  return {argv + optind, argv + argc};
}

int parse_option_integer(const std::string& option, const std::string& text, int minimum,
                         int maximum) {
  int number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end || number < minimum || number > maximum) {
    usage_error("--" + option + " is \"" + text + "\"; a whole number from " +
                std::to_string(minimum) + " to " + std::to_string(maximum) + " is expected");
  }
  return number;
}

void usage_error(const std::string& message) {
  std::fprintf(stderr, "error: %s\n", message.c_str());
  std::exit(kExitUsage);
}

}  // namespace dockpoint
