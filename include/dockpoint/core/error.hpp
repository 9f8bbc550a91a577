#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "dockpoint/core/result_code.hpp"

/// Errors travel as Boost.LEAF results that carry one `Error`.
namespace dockpoint {

/// An error: its code, its place, and whether the request ran or may be retried.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message{};                ///< One sentence without trailing newline.
  std::string place{};                  ///< Field, key or line at fault; may be empty.
  RunState run = RunState::kNotRun;     ///< Whether the request ran on an engine.
  std::chrono::seconds retry_after{0};  ///< Zero: a retry is pointless.
};

template <class T>
using Result = boost::leaf::result<T>;

/// Makes a failed result.
/// @param place field, key or line at fault.
inline boost::leaf::error_id fail(ResultCode code, std::string message, std::string place = {}) {
  return boost::leaf::new_error(Error{code, std::move(message), std::move(place)});
}

/// Makes a failed result from a complete error.
inline boost::leaf::error_id fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

/// Runs `function`, which returns `Result<T>`, and turns a failure into its `Error`.
/// @param on_error called with the error; returns the value to use instead.
template <class Function, class Handler>
auto with_error(Function&& function, Handler&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Function>(function), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ResultCode::kInternal, "unidentified error", {}});
      });
}

/// Evaluates a fallible function, which returns `Result<T>`.
/// @return its value, or nothing on failure; then `problem` holds the error's message.
template <class Function>
auto value_or_problem(Function&& function, std::string& problem) {
  using Value = std::remove_cvref_t<decltype(function().value())>;
  return with_error(
      [&]() -> Result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, function());
        return std::optional<Value>(std::move(value));
      },
      [&](const Error& error) {
        problem = error.message;
        return std::optional<Value>();
      });
}

/// Evaluates a fallible function for its error only.
/// @return nothing on success.
template <class Function>
std::optional<Error> error_of(Function&& function) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Error>> {
        auto result = function();
        if (!result) {
          return result.error();
        }
        return std::optional<Error>{};
      },
      [](const Error& error) { return std::optional<Error>{error}; },
      [] { return std::optional<Error>{Error{}}; });
}

}  // namespace dockpoint
