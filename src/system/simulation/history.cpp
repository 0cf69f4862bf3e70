#include "system/simulation/history.h"

#include "system/configuration/patch.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace willowrill::simulation {
namespace {

constexpr Time max_time_to_force{2500}; // an acknowledged change is in force at schedulers in touch

} // namespace

void History::violation(const std::string& what) {
    outcome_.violations.push_back(fmt::format("{} ms: {}", queue_.now().count(), what));
}

// Of two configurations under one number, a patch may meet either.
void History::sent(ChangeOrder& order) {
    if (!order.patch) order.results.insert(order.body);
    if (order.patch && order.valid)
        for (const std::string& base : sent_[order.based_on])
            order.results.insert(configuration::apply_patch(base, order.body).value());
    (order.valid ? sent_[order.version] : invalid_).insert(order.results.begin(), order.results.end());
}

void History::acknowledged(ChangeOrder& order) {
    if (!order.valid) violation("an invalid configuration was acknowledged");
    if (order.refused) violation("a refused order was acknowledged");
    if (std::exchange(order.acknowledged, true)) return;
    ++outcome_.acknowledged;
    newest_seen_ = std::max(newest_seen_, order.version);
    newest_acknowledged_ = std::max(newest_acknowledged_, order.version);
    acknowledged_at_.emplace(order.version, queue_.now());
    const auto [other, fresh] = acknowledged_on_.emplace(order.based_on, order.body);
    if (!fresh && other->second != order.body)
        violation(fmt::format("two changes on version {} were acknowledged", order.based_on));
    const auto [same, first] = acknowledged_results_.emplace(order.version, order.results);
    if (!first && same->second != order.results)
        violation(fmt::format("two changes with the number {} were acknowledged", order.version));
}

void History::refused(ChangeOrder& order, bool called_invalid) {
    ++outcome_.refused;
    if (order.acknowledged) violation("an order that was taken was refused");
    if (called_invalid && order.valid) violation("a valid configuration was called invalid");
    order.refused = true;
    refused_.insert(order.results.begin(), order.results.end());
}

void History::read(const std::string& text, Version at_least) {
    ++outcome_.reads;
    Version version = 0;
    if (!text.empty()) {
        version = configuration::parse(text).value().version;
        if (invalid_.contains(text)) violation("an invalid configuration is in force");
        if (!sent_[version].contains(text)) violation("a configuration that nobody sent was read");
        if (refused_.contains(text)) violation("a refused configuration is in force");
        const auto known = acknowledged_results_.find(version);
        if (known != acknowledged_results_.end() && !known->second.contains(text))
            violation(fmt::format("version {} is not what was acknowledged", version));
    }
    if (version < at_least)
        violation(fmt::format("version {} was read after {} was acknowledged", version, at_least));
    newest_seen_ = std::max(newest_seen_, version);
}

void History::evacuation_sent(const std::string& zone, bool evacuated) {
    Evacuation& known = evacuations_[zone];
    known.unclear = known.unclear || known.acknowledged_as != evacuated;
}

void History::evacuation_acknowledged(const std::string& zone, bool evacuated) {
    ++outcome_.evacuations;
    evacuations_[zone] = {evacuated, queue_.now(), false};
}

void History::committed(const replication::Position& position, const std::string& content) {
    const auto [known, fresh] = committed_.emplace(position, content);
    if (!fresh && known->second != content) violation("two states at one position");
    if (!fresh) return;
    const protocol::Version version = configuration::cluster_version_of(content);
    const auto entry = cluster_versions_.emplace(position, version).first;
    // What is committed later is no lower, and what was committed before no higher.
    if (entry != cluster_versions_.begin() && std::prev(entry)->second > version)
        violation("the cluster version went back");
    if (std::next(entry) != cluster_versions_.end() && std::next(entry)->second < version)
        violation("the cluster version went back");
}

void History::upgrade_acknowledged() {
    outcome_.upgraded = true;
    if (cluster_versions_.empty() || cluster_versions_.rbegin()->second < protocol::negotiated_version)
        violation("an upgrade was acknowledged that no member has committed");
}

void History::pushed(const std::string& scheduler, const configuration::Configuration& configuration) {
    ++outcome_.pushes;
    const auto is_it = [&](const std::string& text) {
        auto services = configuration::parse(text).value().services, held = configuration.services;
        std::ranges::sort(services, {}, &configuration::Service::name);
        std::ranges::sort(held, {}, &configuration::Service::name);
        return services == held;
    };
    if (std::ranges::none_of(sent_[configuration.version], is_it))
        violation(fmt::format("{} has a version {} that nobody sent", scheduler, configuration.version));
}

void History::active_configuration(const std::string& scheduler, Version version,
                                   const std::set<std::string>& evacuated) {
    Version due = 0;
    for (const auto& [acknowledged, at] : acknowledged_at_)
        if (queue_.now() - at > max_time_to_force) due = std::max(due, acknowledged);
    if (version < due)
        violation(fmt::format("{} has version {} in force, {} was acknowledged", scheduler, version, due));
    for (const auto& [zone, known] : evacuations_) {
        if (known.unclear || !known.acknowledged_at) continue;
        if (queue_.now() - *known.acknowledged_at <= max_time_to_force) continue;
        if (evacuated.contains(zone) != known.acknowledged_as)
            violation(fmt::format("{} does not know that {} is {}", scheduler, zone,
                                  known.acknowledged_as ? "evacuated" : "taken back"));
    }
}

std::optional<Time> History::first_acknowledgement_after(Time since) const {
    std::optional<Time> first;
    for (const auto& [version, at] : acknowledged_at_)
        if (at > since && (!first || at < *first)) first = at;
    return first;
}

Outcome History::close() {
    outcome_.epochs = epochs_.size();
    outcome_.states = committed_.size();
    return outcome_;
}

} // namespace willowrill::simulation
