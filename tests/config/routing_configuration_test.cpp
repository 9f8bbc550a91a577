#include "dockpoint/config/routing_configuration.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace dockpoint;

namespace {

RouteConfig route(const std::string& name, const std::string& host, const std::string& prefix) {
  RouteConfig config;
  config.name = name;
  config.host = host;
  config.path_prefix = prefix;
  return config;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(routing_configuration)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  RoutingConfiguration configuration;
  configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                          route("other", "b.example", "/x/y/z/")};
  BOOST_TEST(configuration.match("a.example", "/x/y/z/1")->name == "long");
  BOOST_TEST(configuration.match("A.Example:80", "/x/q")->name == "short");
  BOOST_TEST(configuration.match("b.example", "/x/y/z/1")->name == "other");
  BOOST_TEST(configuration.match("a.example", "/x") == nullptr);
  BOOST_TEST(configuration.match("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(only_idempotent_and_resumable_routes_are_repeatable) {
  RouteConfig config;
  config.kind = RouteKind::kIdempotent;
  BOOST_TEST(config.repeatable());
  config.kind = RouteKind::kNonIdempotent;
  config.resumable = true;
  BOOST_TEST(!config.repeatable());
  config.kind = RouteKind::kStreaming;
  BOOST_TEST(config.repeatable());
  config.resumable = false;
  BOOST_TEST(!config.repeatable());
}

BOOST_AUTO_TEST_CASE(short_runs_follow_the_weights_for_every_rotation_offset) {
  RouteConfig config = route("split", "a.example", "/");
  config.services = {{"large", 90}, {"small", 10}};
  for (std::uint64_t offset = 0; offset < 20; ++offset) {
    ServiceRotation rotation(offset);
    std::map<std::string, int> counts;
    for (int request = 0; request < 20; ++request) {
      ++counts[rotation.next(config)];
    }
    BOOST_TEST(counts["small"] >= 1);
    BOOST_TEST(counts["small"] <= 3);
  }
}

BOOST_AUTO_TEST_CASE(new_weights_start_a_new_rotation) {
  RouteConfig config = route("split", "a.example", "/");
  config.services = {{"one", 1}, {"two", 1}};
  ServiceRotation rotation;
  rotation.next(config);
  config.services = {{"three", 1}, {"four", 0}};
  for (int request = 0; request < 5; ++request) {
    BOOST_TEST(rotation.next(config) == "three");
  }
}

BOOST_AUTO_TEST_SUITE_END()
