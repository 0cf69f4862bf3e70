#include "scheduler/simulator_adapter/wire.h"

#include <exception>
#include <iostream>
#include <string>

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        willowrill::simulator_adapter::Host host;
        std::string line;
        while (std::getline(std::cin, line)) {
            std::cout << host.handle_line(line) << '\n' << std::flush;
        }
    } catch (const std::exception& error) {
        std::cerr << "willowrill_simhost: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
