// Compiles the sources of Asio and Beast; no other translation unit may include them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
