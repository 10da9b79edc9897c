// Definitions that BOOST_ASIO_SEPARATE_COMPILATION and BOOST_BEAST_SEPARATE_COMPILATION leave out of the headers.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
