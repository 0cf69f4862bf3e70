// Writes the first inputs of the corpora: one good datagram of each kind, and a snapshot.
#include "lab/world.h"

#include <fstream>
#include <iostream>
#include <set>
#include <string>

using namespace std::chrono_literals;
namespace gossip = willowrill::gossip;
namespace counts = willowrill::counts;

namespace {

void write(const std::string& path, const gossip::Bytes& bytes) {
    std::ofstream(path, std::ios::binary)
        .write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

} // namespace

int main(int count, char** arguments) {
    if (count != 2) {
        std::cerr << "usage: fuzz_seeds FOLDER (with datagram/ and snapshot/ in it)\n";
        return 2;
    }
    const std::string folder = arguments[1];
    const counts::Delta delta{{{{"other", 50, 10, 10}}},
                              {{counts::Identity{"other", 50, 0, 0}.key(), 0, 4, 1000s, 1, 1, 2}},
                              {{5, 0, 2}},
                              {{1, {"t", "c"}}},
                              {{49, counts::MarkKind::cover, 3}, {49, counts::MarkKind::folded, 4}}};
    const std::vector<std::pair<std::string, gossip::Body>> bodies{
        {"ping",
         willowrill::swim::Message{
             .kind = willowrill::swim::MessageKind::ping,
             .sequence = 1,
             .life = 100,
             .updates = {{{"other", 50}, {0x7f000001, 2}, willowrill::swim::State::suspect, 3}}}},
        {"sync",
         willowrill::swim::Message{.kind = willowrill::swim::MessageKind::sync_request, .sequence = 2}},
        {"asked", willowrill::swim::Message{.kind = willowrill::swim::MessageKind::ping_request,
                                            .sequence = 3,
                                            .life = 50,
                                            .subject = {0x7f000001, 2}}},
        {"digest", counts::Digest{.keys = {1, 2}, .versions = {3, 4}, .as_of = {1000s, 0s}}},
        {"raise", counts::Digest{.fold_corrections = {{1, 2, {"t", "c"}, counts::Outcome::client_left}}}},
        {"wants", gossip::DeltaRequest{{counts::Identity{"self", 100, 0, 0}.key(), 0, true}, {1, 2, false}}},
        {"delta", delta}};
    for (const auto& [name, body] : bodies)
        write(std::string(folder).append("/datagram/").append(name),
              gossip::encode(gossip::Frame{9, 1, 1000s, body}));
    write(folder + "/snapshot/one", gossip::encode(gossip::Snapshot{"self", 60, 1000s, {delta}}));
    return 0;
}
