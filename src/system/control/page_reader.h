// Reads an instance list from the platform page by page, one request at a time, and delivers the complete
// list. Not thread-safe: used on the event loop's thread only.
#pragma once

#include "system/discovery/instances.h"
#include "system/http_client/client.h"
#include "system/metrics/metrics.h"
#include "system/settings/settings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::control {

class PageReader {
  public:
    enum class Failure {
        no_response, // no response within the timeout
        rejected,    // an HTTP status other than 200: rate limiting or a platform error
        unreadable,  // the response body is not a valid page
    };
    struct Callbacks {
        std::function<void(std::vector<discovery::Instance>)> on_list; // the complete list
        std::function<void(Failure)> on_failure;
        std::function<void(std::size_t)> on_full_page; // size of a page that is not the last
    };

    // `target`: request target of the first page, including its query. `loop` and `metrics` must outlive the
    // reader.
    // `input_memory`: what the platform sends is part of it.
    PageReader(asio::io_context& loop, const settings::Endpoint& platform, std::string target,
               std::shared_ptr<budget::ByteBudget> input_memory, metrics::Metrics& metrics,
               Callbacks callbacks);
    PageReader(const PageReader&) = delete;
    PageReader& operator=(const PageReader&) = delete;
    // Cancels a read in progress without calling any callback.
    ~PageReader() { client_->close(); }

    bool is_busy() const { return client_->busy(); }
    // Starts to read the list from its first page. Must not be called while busy.
    void start();

  private:
    void read_page(const std::string& page_token);
    void on_page(const http_client::Response* response);
    void fail_unreadable(const std::string& detail) const;

    std::string target_;
    metrics::Metrics& metrics_;
    Callbacks callbacks_;
    std::shared_ptr<http_client::Client> client_;
    std::vector<discovery::Instance> instances_; // from the pages read so far; at most `max_pages` pages
    std::size_t pages_ = 0;
    std::size_t list_bytes_ = 0; // of the pages read so far; at most `max_list_bytes`
};

} // namespace willowrill::control
