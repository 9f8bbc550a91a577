#pragma once

#include <functional>
#include <string>
#include <vector>

namespace dockpoint {

/// One long option of a program.
struct CommandOption {
  std::string name;      ///< Without the leading dashes.
  std::string argument;  ///< Placeholder in the help text; empty: no argument.
  std::string help;
  std::function<void(const std::string&)> apply;
};

/// Parses long options with `getopt_long`. Adds `--help` and `--version`, which print and exit
/// with 0; an unknown option prints a hint and exits with 2.
/// @param usage first lines of the help.
/// @return the positional arguments, in order.
std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& usage,
                                            const std::vector<CommandOption>& options);

/// Parses an integer, or exits with a usage error that names the option.
int parse_option_integer(const std::string& option, const std::string& text, int minimum,
                         int maximum);

/// Prints a usage error and exits with 2.
[[noreturn]] void usage_error(const std::string& message);

}  // namespace dockpoint
