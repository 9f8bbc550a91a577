#define BOOST_TEST_MODULE dockpoint
#include <boost/test/unit_test.hpp>
