// What a socket tells of what there is to read.
#include "system/transport/socket_options.h"

#include <criterion/criterion.h>

using namespace willowrill;

Test(pending, an_end_differs_from_bytes_and_from_nothing) {
    asio::io_context loop;
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Tcp::socket near(loop), far(loop);
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    cr_assert(transport::pending(near) == transport::Pending::nothing);
    asio::write(far, asio::buffer("x", 1));
    near.wait(Tcp::socket::wait_read);
    cr_assert(transport::pending(near) == transport::Pending::bytes);
    char byte = 0;
    asio::read(near, asio::buffer(&byte, 1));
    far.close();
    near.wait(Tcp::socket::wait_read);
    cr_assert(transport::pending(near) == transport::Pending::ended);
}
