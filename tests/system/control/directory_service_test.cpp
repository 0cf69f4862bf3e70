// Tests the directory's HTTP service: which request targets it answers, and with which addresses.
#include "system/control/directory_service.h"

#include "support/expect.h"
#include "support/leases.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::control;

namespace {

struct DirectoryFixture {
    DirectoryFixture()
        : endpoint{"127.0.0.1", free_port(loop)}, service(loop, endpoint, [] {
              membership::Lease lease;
              lease.node = "n1";
              lease.zone = "hall-a";
              lease.region = "north";
              lease.client_address = "10.1.0.20:8161";
              lease.phase = membership::Phase::ready;
              return std::vector<membership::Lease>{lease};
          }) {}
    static std::uint16_t free_port(asio::io_context& loop) {
        const Tcp::acceptor free(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return free.local_endpoint().port();
    }
    http::response<http::string_body> get(const std::string& target) {
        Tcp::socket socket(loop);
        socket.connect({asio::ip::address_v4::loopback(), endpoint.port});
        http::request<http::empty_body> request(http::verb::get, target, 11);
        request.set(http::field::host, "directory");
        http::response<http::string_body> response;
        beast::flat_buffer buffer;
        bool done = false;
        http::async_write(socket, request, [&](ErrorCode, std::size_t) {
            http::async_read(socket, buffer, response, [&](ErrorCode error, std::size_t) { done = !error; });
        });
        while (!done)
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U, "no answer");
        return response;
    }
    asio::io_context loop;
    settings::Endpoint endpoint;
    DirectoryService service;
};

} // namespace

Test(directory_service, returns_the_addresses_of_ready_schedulers) {
    DirectoryFixture fixture;
    for (const char* target : {"/-/resolution", "/-/resolution?name=x&region=north&zone=hall-a"}) {
        const auto response = fixture.get(target);
        cr_assert_eq(response.result_int(), 200U, "%s", target);
        cr_assert(response.body().find("10.1.0.20:8161") != std::string::npos);
    }
}

Test(directory_service, rejects_other_targets_with_the_same_prefix) {
    DirectoryFixture fixture;
    for (const char* target : {"/-/resolutions", "/-/resolutionX?zone=hall-a", "/-/resolution/x", "/-/", "/"})
        cr_assert_eq(fixture.get(target).result_int(), 404U, "%s", target);
}
