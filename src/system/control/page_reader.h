// Reads a list of the platform's, page by page, one call at a time, and hands over the whole of it. One
// thread, that of the loop.
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
        no_response, // or none in time
        rejected,    // the platform is asked too often, or has a fault
        unreadable,  // the answer is no page
    };
    struct Callbacks {
        std::function<void(std::vector<discovery::Instance>)> on_list; // every page of the list
        std::function<void(Failure)> on_failure;
        std::function<void(std::size_t)> on_full_page; // of so many instances, with another behind it
    };

    // `target`: of the first page, with its query. `loop` and `metrics` outlive the reader.
    PageReader(asio::io_context& loop, const settings::Endpoint& platform, std::string target,
               metrics::Metrics& metrics, Callbacks callbacks);
    PageReader(const PageReader&) = delete;
    PageReader& operator=(const PageReader&) = delete;
    // A reading under way ends without a word.
    ~PageReader() { client_->close(); }

    bool is_busy() const { return client_->busy(); }
    // Reads the list from its first page on. Not while busy.
    void start();

  private:
    void read_page(const std::string& page_token);
    void on_page(const http_client::Response* response);

    std::string target_;
    metrics::Metrics& metrics_;
    Callbacks callbacks_;
    std::shared_ptr<http_client::Client> client_;
    std::vector<discovery::Instance> instances_; // of the pages so far; at most `max_pages` pages
    std::size_t pages_ = 0;
};

} // namespace willowrill::control
