// The one place where the separately compiled parts of Asio and Beast are built.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
