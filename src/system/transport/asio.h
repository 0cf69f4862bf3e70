// Boost.Asio and Beast as this project uses them. The release in Debian needs <utility> before its
// coroutines.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace willowrill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyTimer = asio::steady_timer;

} // namespace willowrill
