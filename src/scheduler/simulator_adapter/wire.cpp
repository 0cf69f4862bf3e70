#include "scheduler/simulator_adapter/wire.h"

#include <willowrill/dispatcher.h>

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <cmath>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace willowrill::simulator_adapter {
namespace {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// ---- Reading values ------------------------------------------------------------------------------------

const Json* find(const Json& object, const char* key) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

[[noreturn]] void throw_invalid_field(const char* key, const char* expected) {
    throw WireError(std::string("field '") + key + "' must be " + expected);
}

const Json& require(const Json& object, const char* key) {
    const Json* value = find(object, key);
    if (value == nullptr) throw WireError(std::string("missing field '") + key + "'");
    return *value;
}

const Json& require_array(const Json& object, const char* key) {
    const Json& value = require(object, key);
    if (!value.IsArray()) throw_invalid_field(key, "an array");
    return value;
}

std::string_view as_string(const Json& value, const char* key) {
    if (!value.IsString()) throw_invalid_field(key, "a string");
    return {value.GetString(), value.GetStringLength()};
}

std::string_view require_string(const Json& object, const char* key) {
    return as_string(require(object, key), key);
}

std::int64_t as_integer(const Json& value, const char* key) {
    if (value.IsInt64()) return value.GetInt64();
    // JSON writers may represent an integer as 5e9 or 5.0.
    if (value.IsDouble() && std::abs(value.GetDouble()) < 9.0e18) return std::llround(value.GetDouble());
    throw_invalid_field(key, "a whole number");
}

std::int64_t integer_or(const Json& object, const char* key, std::int64_t fallback) {
    const Json* value = find(object, key);
    return value == nullptr ? fallback : as_integer(*value, key);
}

std::int64_t require_integer(const Json& object, const char* key) {
    return as_integer(require(object, key), key);
}

// Tokens and seeds use the full range of 64 bits.
std::uint64_t unsigned_or(const Json& object, const char* key, std::uint64_t fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    return value->IsUint64() ? value->GetUint64() : static_cast<std::uint64_t>(as_integer(*value, key));
}

double number_or(const Json& object, const char* key, double fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    if (!value->IsNumber()) throw_invalid_field(key, "a number");
    return value->GetDouble();
}

bool bool_or(const Json& object, const char* key, bool fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    if (!value->IsBool()) throw_invalid_field(key, "true or false");
    return value->GetBool();
}

std::string_view string_or(const Json& object, const char* key, std::string_view fallback) {
    const Json* value = find(object, key);
    return value == nullptr ? fallback : as_string(*value, key);
}

Duration duration_or(const Json& object, const char* key) { return Duration(integer_or(object, key, 0)); }

const Json& object_or_empty(const Json& object, const char* key) {
    static const Json empty(rapidjson::kObjectType);
    const Json* value = find(object, key);
    if (value == nullptr) return empty;
    if (!value->IsObject()) throw_invalid_field(key, "an object");
    return *value;
}

template <class Value> using NamedValues = std::initializer_list<std::pair<std::string_view, Value>>;

template <class Value> Value parse_enum(std::string_view text, NamedValues<Value> choices, const char* key) {
    for (const auto& [name, value] : choices) {
        if (name == text) return value;
    }
    throw WireError(std::string("field '") + key + "' has the unknown value '" + std::string(text) + "'");
}

// ---- Settings ------------------------------------------------------------------------------------------

struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;
};

std::vector<std::string> read_names(const Json& settings, const char* key) {
    std::vector<std::string> names;
    if (const Json* list = find(settings, key)) {
        if (!list->IsArray()) throw_invalid_field(key, "an array");
        for (const Json& item : list->GetArray()) {
            names.emplace_back(item.IsObject() ? require_string(item, "name") : as_string(item, key));
        }
    }
    return names;
}

Index index_of(const std::vector<std::string>& names, std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return static_cast<Index>(i);
    }
    return none;
}

// Kinds and zones that the settings do not list are appended.
Index index_or_add(std::vector<std::string>& names, std::string_view name) {
    const Index index = index_of(names, name);
    if (index != none) return index;
    names.emplace_back(name);
    return static_cast<Index>(names.size() - 1);
}

JobClass read_class(const Json& json, const Json& family, std::size_t class_index) {
    const auto class_value = [&](const char* key, double fallback) {
        const Json* list = find(family, key);
        const bool has_element = list != nullptr && list->IsArray() && class_index < list->Size();
        return has_element && (*list)[static_cast<rapidjson::SizeType>(class_index)].IsNumber()
                   ? (*list)[static_cast<rapidjson::SizeType>(class_index)].GetDouble()
                   : fallback;
    };
    JobClass job_class;
    job_class.effect = parse_enum<Effect>(string_or(json, "effect", "non_idempotent"),
                                          {{"read_like", Effect::repeatable},
                                           {"idempotency_key", Effect::keyed},
                                           {"non_idempotent", Effect::once}},
                                          "effect");
    job_class.repeat_scope = parse_enum<RepeatScope>(
        string_or(json, "dedup_scope", "all"),
        {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::cell}}, "dedup_scope");
    job_class.repeat_window = duration_or(json, "window_ns");
    job_class.aim = duration_or(json, "aim_ns");
    job_class.aim_stretch = number_or(json, "aim_stretch", class_value("class_stretch", 0));
    job_class.give_up = duration_or(json, "hard_limit_ns");
    job_class.worth = number_or(json, "worth", 1);
    job_class.late_worth = number_or(json, "late_share", 0);
    const double kind = class_value("class_kind", -1);
    job_class.kind = kind < 0 ? none : static_cast<Index>(kind);
    return job_class;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
Settings read_settings(const Json& event, Names& names) {
    const Json& json = require(event, "settings");
    if (!json.IsObject()) throw_invalid_field("settings", "an object");
    names.classes = read_names(json, "classes");
    names.tenants = read_names(json, "tenants");
    names.zones = read_names(json, "zones");
    names.kinds = read_names(json, "kinds");

    Settings result;
    result.seed = unsigned_or(event, "init_seed", 0);
    result.self = static_cast<Index>(integer_or(json, "slot_no", 0));
    result.dispatchers = static_cast<Index>(integer_or(json, "balancers", 1));
    result.zone = index_or_add(names.zones, string_or(json, "zone", ""));
    result.zones = static_cast<Index>(names.zones.size());
    result.kinds = static_cast<Index>(names.kinds.size());

    const Json& family = object_or_empty(json, "family_info");
    if (!names.classes.empty()) {
        const Json& classes = require_array(json, "classes");
        for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
            result.classes.push_back(read_class(classes[i], family, i));
        }
    }
    if (!names.tenants.empty()) {
        for (const Json& tenant : require_array(json, "tenants").GetArray()) {
            const bool is_object = tenant.IsObject();
            result.tenants.push_back({is_object ? number_or(tenant, "share", 0) : 0,
                                      is_object ? number_or(tenant, "quota_rps", 0) : 0});
        }
    }
    result.over_quota_worth = number_or(json, "over_share_worth", 1);
    result.worth_by_work = string_or(json, "counted_by", "request") == "work";
    result.tick = duration_or(json, "tick_ns");
    result.list_on_request = string_or(json, "discovery", "push") == "ask";
    result.tells_start = bool_or(family, "tells_start", false);
    result.progress_period = duration_or(family, "progress_ns");
    const std::string_view via = string_or(object_or_empty(json, "reporting"), "via", "silent");
    result.reports_with_answers = via == "piggyback";
    result.reports_with_probes = via == "piggyback" || via == "pull";

    const Json& limits = object_or_empty(json, "limits");
    result.probes = bool_or(limits, "probes", false);
    result.may_cancel = bool_or(limits, "cancel", false);
    result.second_copies = bool_or(limits, "second_copies", false);
    result.clients_honor_retry_after = bool_or(limits, "retry_after", false);
    result.marks_retry = bool_or(object_or_empty(json, "clients"), "marks_retry", false);
    result.max_attempts = static_cast<Index>(integer_or(limits, "max_attempts", 1));
    result.max_retry_after = duration_or(limits, "max_retry_after_ns");
    result.cross_zone_price = number_or(object_or_empty(json, "prices"), "cross_zone", 0);
    result.handshake_price = number_or(object_or_empty(json, "prices"), "handshake", 0);
    result.probe_price = number_or(object_or_empty(json, "prices"), "probe", 0);
    result.connect_timeout = duration_or(limits, "connect_timeout_ns");
    result.connection_idle = duration_or(limits, "conn_idle_ns");

    const Json& safety = object_or_empty(json, "safety");
    result.answer_slack = duration_or(safety, "answer_slack_ns");
    result.drain_grace = duration_or(safety, "stop_sending_within_ns");
    result.list_valid = duration_or(safety, "ask_within_ns");
    result.cold_time = duration_or(safety, "cold_ns");
    result.cold_capacity = number_or(safety, "start_capacity", 1);
    result.overload_multiple = number_or(safety, "fall_multiple", 0);
    result.overload_time = duration_or(safety, "fall_ns");
    return result;
}

using ReportField = std::optional<double> Report::*;

std::vector<ReportField> read_report_fields(const Json& settings) {
    std::vector<ReportField> fields;
    const Json* list = find(object_or_empty(settings, "reporting"), "fields");
    if (list == nullptr) return fields;
    if (!list->IsArray()) throw_invalid_field("fields", "an array");
    for (const Json& item : list->GetArray()) {
        const std::array<std::pair<std::string_view, ReportField>, 8> known_fields{{
            {"load_share", &Report::utilisation},
            {"depth", &Report::queued},
            {"concurrent", &Report::in_flight},
            {"x0", &Report::free_slots},
            {"x1", &Report::free_memory},
            {"mean_ms", &Report::service_ms},
            {"tps", &Report::served_per_s},
            {"err_ps", &Report::errors_per_s},
        }};
        ReportField field = nullptr; // null for an unknown field, which is skipped
        for (const auto& [name, member] : known_fields) {
            if (name == as_string(item, "fields")) field = member;
        }
        fields.push_back(field);
    }
    return fields;
}

Outcome read_outcome(const Json& event) {
    switch (require_integer(event, "status")) {
    case 100:
        return Outcome::served;
    case 301:
        return Outcome::error;
    case 302:
        return Outcome::full;
    case 303:
        return Outcome::timed_out;
    case 304:
        return Outcome::connect_failed;
    case 305:
        return Outcome::reset;
    case 306:
        return Outcome::cancelled;
    case 307:
        return Outcome::not_sent;
    default:
        throw WireError("field 'status' has an unknown value");
    }
}

// Combines lambdas into one visitor for std::visit.
template <class... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

// ---- Instance ------------------------------------------------------------------------------------------

// One dispatcher, with the mapping between the names on the wire and its ids.
class Instance {
  public:
    explicit Instance(const Json& event)
        : dispatcher_(read_settings(event, names_)),
          report_fields_(read_report_fields(require(event, "settings"))) {}

    // Queues an event for the next call of `handle_events`.
    void add_event(const Json& event, std::string_view kind);
    void handle_events(Time now);
    bool has_actions() const { return !actions_.empty(); }
    // Writes the pending actions and releases the ids of finished jobs.
    void write_actions(Writer& writer);
    std::size_t tracked_name_count() const {
        return job_ids_.size() + job_records_.size() + worker_ids_.size();
    }

  private:
    struct JobRecord {
        std::string name;
        Index pending_attempts = 0; // attempts without an outcome
        bool is_finished = false;   // answered, or withdrawn by the client
        bool is_released = false;   // the id may be reused for another job
    };

    JobId add_job(std::string_view name);
    std::optional<JobId> find_job(const Json& event) const;
    void release_if_finished(JobId job);
    WorkerId worker_id(std::string_view address);
    std::optional<Report> read_report(const Json& event) const;
    EndpointListUpdate read_endpoint_list(const Json& event);
    JobArrived read_job(const Json& event);

    Names names_;
    Dispatcher dispatcher_;
    std::vector<ReportField> report_fields_;
    std::vector<Event> events_;
    std::vector<Action> actions_;
    std::unordered_map<std::string, JobId> job_ids_;
    std::vector<JobRecord> job_records_;
    std::vector<JobId> free_job_ids_, changed_jobs_;
    std::unordered_map<std::string, WorkerId> worker_ids_;
    std::vector<std::string> worker_names_;
};

JobId Instance::add_job(std::string_view name) {
    JobId job = 0;
    if (free_job_ids_.empty()) {
        job = static_cast<JobId>(job_records_.size());
        job_records_.emplace_back();
    } else {
        job = free_job_ids_.back();
        free_job_ids_.pop_back();
    }
    job_records_[job] = {.name = std::string(name)};
    if (!job_ids_.emplace(job_records_[job].name, job).second) {
        throw WireError("job '" + std::string(name) + "' arrived twice");
    }
    return job;
}

std::optional<JobId> Instance::find_job(const Json& event) const {
    const auto position = job_ids_.find(std::string(require_string(event, "job")));
    return position == job_ids_.end() ? std::nullopt : std::optional<JobId>(position->second);
}

void Instance::release_if_finished(JobId job) {
    JobRecord& record = job_records_[job];
    if (record.is_released || !record.is_finished || record.pending_attempts > 0) return;
    record.is_released = true;
    job_ids_.erase(record.name);
    free_job_ids_.push_back(job);
}

WorkerId Instance::worker_id(std::string_view address) {
    const auto [position, added] =
        worker_ids_.try_emplace(std::string(address), static_cast<WorkerId>(worker_names_.size()));
    if (added) worker_names_.emplace_back(address);
    return position->second;
}

std::optional<Report> Instance::read_report(const Json& event) const {
    const Json* values = find(event, "feedback");
    if (values == nullptr) return std::nullopt;
    if (!values->IsArray()) throw_invalid_field("feedback", "an array");
    Report report;
    for (rapidjson::SizeType i = 0; i < values->Size() && i < report_fields_.size(); ++i) {
        if (report_fields_[i] != nullptr && (*values)[i].IsNumber())
            report.*report_fields_[i] = (*values)[i].GetDouble();
    }
    return report;
}

EndpointListUpdate Instance::read_endpoint_list(const Json& event) {
    EndpointListUpdate update;
    update.kind = parse_enum<EndpointListUpdate::Kind>(require_string(event, "how"),
                                                       {{"patch", EndpointListUpdate::Kind::changes},
                                                        {"whole", EndpointListUpdate::Kind::complete},
                                                        {"stale_copy", EndpointListUpdate::Kind::remembered},
                                                        {"broken", EndpointListUpdate::Kind::broken}},
                                                       "how");
    const Json* entries = find(event, "entries");
    if (entries == nullptr) return update;
    if (!entries->IsArray()) throw_invalid_field("entries", "an array");
    for (const Json& json : entries->GetArray()) {
        if (!json.IsObject()) throw_invalid_field("entries", "an array of objects");
        WorkerEntry entry;
        const std::string_view address = require_string(json, "runner");
        entry.worker = worker_id(address);
        entry.key = key_of(address);
        entry.up_since = duration_or(json, "came_up_ns");
        entry.kind = index_or_add(names_.kinds, string_or(json, "model", ""));
        entry.zone = index_or_add(names_.zones, string_or(json, "az", ""));
        entry.cell = static_cast<Index>(integer_or(json, "cell", 0));
        entry.condition = parse_enum<Condition>(
            require_string(json, "condition"),
            {{"ready", Condition::ready}, {"draining", Condition::draining}, {"gone", Condition::gone}},
            "condition");
        entry.weight = number_or(json, "scale", 1);
        update.entries.push_back(entry);
    }
    return update;
}

JobArrived Instance::read_job(const Json& event) {
    JobArrived job;
    job.job_class = index_of(names_.classes, require_string(event, "profile"));
    if (job.job_class == none) throw WireError("field 'profile' names no class of the settings");
    if (const Json* tenant = find(event, "org"); tenant != nullptr && tenant->IsString()) {
        job.tenant = index_of(names_.tenants, as_string(*tenant, "org"));
    }
    if (find(event, "affinity") != nullptr) job.key = unsigned_or(event, "affinity", 0);
    job.time_left = Duration(require_integer(event, "left_ns"));
    job.hint = duration_or(event, "hint_ns");
    job.slots = number_or(event, "needs", 1);
    job.memory = number_or(event, "ram_units", 0);
    job.is_retry = bool_or(event, "again_by_client", false);
    job.job = add_job(require_string(event, "job"));
    return job;
}

void Instance::add_event(const Json& event, std::string_view kind) {
    const auto attempt = [&] { return static_cast<Index>(integer_or(event, "try", 0)); };
    const auto worker = [&] { return worker_id(require_string(event, "runner")); };
    if (kind == "job_in") {
        events_.emplace_back(read_job(event));
    } else if (kind == "verdict") {
        AttemptEnded ended{.attempt = attempt(),
                           .worker = worker(),
                           .outcome = read_outcome(event),
                           .latency = duration_or(event, "latency_ns"),
                           .job_over = bool_or(event, "no_more", false),
                           .report = read_report(event)};
        const auto job = find_job(event);
        if (!job) return; // late event of a finished job
        ended.job = *job;
        JobRecord& record = job_records_[*job];
        if (record.pending_attempts > 0) --record.pending_attempts;
        record.is_finished = record.is_finished || ended.job_over;
        changed_jobs_.push_back(*job);
        events_.emplace_back(ended);
    } else if (kind == "heartbeat") {
        const auto job = find_job(event);
        const auto phase = require_integer(event, "what");
        if (!job) return;
        if (phase == 1) {
            events_.emplace_back(AttemptStarted{*job, attempt(), worker()});
        } else if (phase == 2) {
            events_.emplace_back(AttemptProgress{*job, attempt(), worker(), number_or(event, "x", 0)});
        }
    } else if (kind == "bell") {
        events_.emplace_back(TimerExpired{});
    } else if (kind == "discovery") {
        events_.emplace_back(read_endpoint_list(event));
    } else if (kind == "withdrawn") {
        const auto job = find_job(event);
        if (!job) return;
        job_records_[*job].is_finished = true;
        changed_jobs_.push_back(*job);
        events_.emplace_back(JobAbandoned{*job});
    } else if (kind == "head_received") {
        if (const auto job = find_job(event)) {
            events_.emplace_back(AnswerBegun{*job, attempt(), worker(), duration_or(event, "latency_ns")});
        }
    } else if (kind == "pong") {
        events_.emplace_back(
            Probed{worker(), read_outcome(event), duration_or(event, "latency_ns"), read_report(event)});
    } else if (kind == "peer_data") {
        // The dispatcher does not use data of its peers.
    } else {
        throw WireError("unknown event '" + std::string(kind) + "'");
    }
}

void Instance::handle_events(Time now) {
    dispatcher_.handle(now, events_, actions_);
    events_.clear();
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Instance::write_actions(Writer& writer) {
    const auto write_string = [&](const char* key, std::string_view value) {
        writer.Key(key);
        writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    const auto write_integer = [&](const char* key, std::int64_t value) {
        writer.Key(key);
        writer.Int64(value);
    };
    const auto write_job = [&](JobId id) { write_string("job", job_records_[id].name); };
    const auto write_final_answer = [&](JobId id) {
        write_job(id);
        job_records_[id].is_finished = true;
        changed_jobs_.push_back(id);
    };
    for (const Action& action : actions_) {
        writer.StartObject();
        std::visit(Overloaded{
                       [&](const Send& send) {
                           write_string("m", "hand_off");
                           write_job(send.job);
                           write_string("runner", worker_names_[send.worker]);
                           if (send.time_out.count() != 0)
                               write_integer("allow_for_ns", send.time_out.count());
                           ++job_records_[send.job].pending_attempts;
                       },
                       [&](const Refuse& refuse) {
                           write_string("m", "push_back");
                           write_final_answer(refuse.job);
                           if (refuse.retry_after.count() > 0)
                               write_integer("stay_away_ns", refuse.retry_after.count());
                       },
                       [&](const Fail& fail) {
                           write_string("m", "fail");
                           write_final_answer(fail.job);
                       },
                       [&](const Cancel& cancel) {
                           write_string("m", "withdraw");
                           write_job(cancel.job);
                           write_integer("try", cancel.attempt);
                       },
                       [&](const Probe& probe) {
                           write_string("m", "ping");
                           write_string("runner", worker_names_[probe.worker]);
                       },
                       [&](const Wake& wake) {
                           write_string("m", "wake_at");
                           write_integer("when_ns", wake.at.count());
                           write_integer("mark", 0);
                       },
                       [&](const WatchList& watch) {
                           write_string("m", "watch");
                           writer.Key("active");
                           writer.Bool(watch.active);
                       },
                   },
                   action);
        writer.EndObject();
    }
    actions_.clear();
    for (const JobId id : changed_jobs_) {
        release_if_finished(id);
    }
    changed_jobs_.clear();
}

// ---- Host ----------------------------------------------------------------------------------------------

struct Host::Buffers {
    std::vector<char> arena = std::vector<char>(1U << 20U);
    rapidjson::StringBuffer reply;
};

Host::Host() : buffers_(std::make_unique<Buffers>()) {}
Host::~Host() = default;

std::size_t Host::tracked_name_count() const {
    std::size_t count = 0;
    for (const auto& [id, instance] : instances_) {
        count += instance->tracked_name_count();
    }
    return count;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::string_view Host::handle_line(std::string& line) {
    rapidjson::MemoryPoolAllocator<> pool(buffers_->arena.data(), buffers_->arena.size());
    rapidjson::Document batch(&pool);
    batch.ParseInsitu<rapidjson::kParseFullPrecisionFlag>(line.data());
    if (batch.HasParseError()) {
        throw WireError(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
    }
    if (!batch.IsObject()) throw WireError("a batch must be an object");
    const Time now(require_integer(batch, "clock_ns"));

    buffers_->reply.Clear();
    Writer writer(buffers_->reply);
    writer.StartObject();
    writer.Key("dispatchers");
    writer.StartArray();
    for (const Json& instance_json : require_array(batch, "dispatchers").GetArray()) {
        if (!instance_json.IsObject()) throw_invalid_field("dispatchers", "an array of objects");
        const long long id = require_integer(instance_json, "dispatcher_id");
        auto instance = instances_.find(id);
        for (const Json& event : require_array(instance_json, "news").GetArray()) {
            if (!event.IsObject()) throw_invalid_field("news", "an array of objects");
            const std::string_view kind = require_string(event, "m");
            if (kind == "new_instance") {
                instance = instances_.insert_or_assign(id, std::make_unique<Instance>(event)).first;
                continue;
            }
            if (instance == instances_.end()) throw WireError("unknown instance " + std::to_string(id));
            if (kind == "teardown") {
                instances_.erase(instance);
                instance = instances_.end();
            } else {
                instance->second->add_event(event, kind);
            }
        }
        if (instance == instances_.end()) continue;
        instance->second->handle_events(now);
        const bool has_actions = instance->second->has_actions();
        if (has_actions) {
            writer.StartObject();
            writer.Key("dispatcher_id");
            writer.Int64(id);
            writer.Key("decisions");
            writer.StartArray();
        }
        instance->second->write_actions(writer);
        if (has_actions) {
            writer.EndArray();
            writer.EndObject();
        }
    }
    writer.EndArray();
    writer.EndObject();
    return {buffers_->reply.GetString(), buffers_->reply.GetSize()};
}

} // namespace willowrill::simulator_adapter
