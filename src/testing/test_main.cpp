// Entry point shared by all test programs.

#define BOOST_TEST_MODULE trefoilstile
#include <boost/test/unit_test.hpp>
