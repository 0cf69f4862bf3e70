// What a socket tells of what there is to read.
#include "system/transport/socket_options.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;

namespace {

// Two ends of a connection.
struct Connected {
    Connected() {
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
    }

    void reset_far() {
        far.set_option(asio::socket_base::linger(true, 0));
        far.close();
    }

    // As much as goes into the buffers of both ends.
    void fill() {
        near.non_blocking(true);
        const std::string bytes(65536, 'x');
        ErrorCode error;
        while (!error)
            near.write_some(asio::buffer(bytes), error);
        cr_assert(error == asio::error::would_block);
    }

    asio::io_context loop;
    Tcp::socket near{loop}, far{loop};
};

} // namespace

Test(pending, an_end_differs_from_bytes_and_from_nothing) {
    Connected connected;
    Tcp::socket &near = connected.near, &far = connected.far;
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

Test(peer_end, a_closed_side_differs_from_a_reset_whose_error_was_taken) {
    char byte = 0;
    ErrorCode error;
    Connected closed;
    asio::write(closed.near, asio::buffer("x", 1));
    asio::read(closed.far, asio::buffer(&byte, 1));
    closed.far.shutdown(Tcp::socket::shutdown_send);
    cr_assert_eq(closed.near.read_some(asio::buffer(&byte, 1), error), 0U);
    cr_assert(error == asio::error::eof);
    cr_assert(transport::peer_end(closed.near) == transport::PeerEnd::in_order);

    Connected reset;
    reset.reset_far();
    reset.near.write_some(asio::buffer("x", 1), error);
    cr_assert(error);
    cr_assert_eq(reset.near.read_some(asio::buffer(&byte, 1), error), 0U);
    cr_assert(error == asio::error::eof, "the write has taken the error");
    cr_assert(transport::peer_end(reset.near) == transport::PeerEnd::reset);
}

Test(peer_end, a_closed_side_is_not_the_last_word_while_bytes_are_on_their_way) {
    Connected connected;
    connected.fill();
    connected.far.shutdown(Tcp::socket::shutdown_send);
    cr_assert(transport::peer_end(connected.near) == transport::PeerEnd::unacknowledged);
    connected.reset_far();
    cr_assert(transport::peer_end(connected.near) == transport::PeerEnd::reset);
}
