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

[[noreturn]] void bad_field(const char* key, const char* wanted) {
    throw WireError(std::string("field '") + key + "' must be " + wanted);
}

const Json& need(const Json& object, const char* key) {
    const Json* value = find(object, key);
    if (value == nullptr) throw WireError(std::string("missing field '") + key + "'");
    return *value;
}

const Json& need_array(const Json& object, const char* key) {
    const Json& value = need(object, key);
    if (!value.IsArray()) bad_field(key, "an array");
    return value;
}

std::string_view to_text(const Json& value, const char* key) {
    if (!value.IsString()) bad_field(key, "a string");
    return {value.GetString(), value.GetStringLength()};
}

std::string_view need_text(const Json& object, const char* key) { return to_text(need(object, key), key); }

std::int64_t to_integer(const Json& value, const char* key) {
    if (value.IsInt64()) return value.GetInt64();
    // Writers may put a whole number as 5e9 or 5.0.
    if (value.IsDouble() && std::abs(value.GetDouble()) < 9.0e18) return std::llround(value.GetDouble());
    bad_field(key, "a whole number");
}

std::int64_t integer_or(const Json& object, const char* key, std::int64_t fallback) {
    const Json* value = find(object, key);
    return value == nullptr ? fallback : to_integer(*value, key);
}

std::int64_t need_integer(const Json& object, const char* key) { return to_integer(need(object, key), key); }

// Tokens and seeds use the whole range of an unsigned word.
std::uint64_t unsigned_or(const Json& object, const char* key, std::uint64_t fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    return value->IsUint64() ? value->GetUint64() : static_cast<std::uint64_t>(to_integer(*value, key));
}

double number_or(const Json& object, const char* key, double fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    if (!value->IsNumber()) bad_field(key, "a number");
    return value->GetDouble();
}

bool flag_or(const Json& object, const char* key, bool fallback) {
    const Json* value = find(object, key);
    if (value == nullptr) return fallback;
    if (!value->IsBool()) bad_field(key, "true or false");
    return value->GetBool();
}

std::string_view text_or(const Json& object, const char* key, std::string_view fallback) {
    const Json* value = find(object, key);
    return value == nullptr ? fallback : to_text(*value, key);
}

Duration duration_or(const Json& object, const char* key) { return Duration(integer_or(object, key, 0)); }

const Json& section(const Json& object, const char* key) {
    static const Json empty(rapidjson::kObjectType);
    const Json* value = find(object, key);
    if (value == nullptr) return empty;
    if (!value->IsObject()) bad_field(key, "an object");
    return *value;
}

template <class Value> using Words = std::initializer_list<std::pair<std::string_view, Value>>;

template <class Value> Value translate(std::string_view word, Words<Value> words, const char* key) {
    for (const auto& [name, value] : words) {
        if (name == word) return value;
    }
    throw WireError(std::string("field '") + key + "' has the unknown value '" + std::string(word) + "'");
}

// ---- Settings ------------------------------------------------------------------------------------------

struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;
};

std::vector<std::string> read_names(const Json& settings, const char* key) {
    std::vector<std::string> names;
    if (const Json* list = find(settings, key)) {
        if (!list->IsArray()) bad_field(key, "an array");
        for (const Json& item : list->GetArray()) {
            names.emplace_back(item.IsObject() ? need_text(item, "name") : to_text(item, key));
        }
    }
    return names;
}

Index position(const std::vector<std::string>& names, std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return static_cast<Index>(i);
    }
    return none;
}

// A kind or zone that the settings do not list gets a position of its own.
Index position_or_add(std::vector<std::string>& names, std::string_view name) {
    const Index known = position(names, name);
    if (known != none) return known;
    names.emplace_back(name);
    return static_cast<Index>(names.size() - 1);
}

JobClass read_class(const Json& json, const Json& family, std::size_t at) {
    const auto of_class = [&](const char* key, double fallback) {
        const Json* list = find(family, key);
        const bool there = list != nullptr && list->IsArray() && at < list->Size();
        return there && (*list)[static_cast<rapidjson::SizeType>(at)].IsNumber()
                   ? (*list)[static_cast<rapidjson::SizeType>(at)].GetDouble()
                   : fallback;
    };
    JobClass out;
    out.effect = translate<Effect>(text_or(json, "effect", "non_idempotent"),
                                   {{"read_like", Effect::repeatable},
                                    {"idempotency_key", Effect::keyed},
                                    {"non_idempotent", Effect::once}},
                                   "effect");
    out.repeat_scope = translate<RepeatScope>(
        text_or(json, "dedup_scope", "all"),
        {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::cell}}, "dedup_scope");
    out.repeat_window = duration_or(json, "window_ns");
    out.aim = duration_or(json, "aim_ns");
    out.aim_stretch = number_or(json, "aim_stretch", of_class("class_stretch", 0));
    out.give_up = duration_or(json, "hard_limit_ns");
    out.worth = number_or(json, "worth", 1);
    out.late_worth = number_or(json, "late_share", 0);
    const double kind = of_class("class_kind", -1);
    out.kind = kind < 0 ? none : static_cast<Index>(kind);
    return out;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
Settings read_settings(const Json& event, Names& names) {
    const Json& json = need(event, "settings");
    if (!json.IsObject()) bad_field("settings", "an object");
    names.classes = read_names(json, "classes");
    names.tenants = read_names(json, "tenants");
    names.zones = read_names(json, "zones");
    names.kinds = read_names(json, "kinds");

    Settings out;
    out.seed = unsigned_or(event, "init_seed", 0);
    out.self = static_cast<Index>(integer_or(json, "slot_no", 0));
    out.dispatchers = static_cast<Index>(integer_or(json, "balancers", 1));
    out.zone = position_or_add(names.zones, text_or(json, "zone", ""));
    out.zones = static_cast<Index>(names.zones.size());
    out.kinds = static_cast<Index>(names.kinds.size());

    const Json& family = section(json, "family_info");
    if (!names.classes.empty()) {
        const Json& classes = need_array(json, "classes");
        for (rapidjson::SizeType i = 0; i < classes.Size(); ++i) {
            out.classes.push_back(read_class(classes[i], family, i));
        }
    }
    if (!names.tenants.empty()) {
        for (const Json& tenant : need_array(json, "tenants").GetArray()) {
            const bool named = tenant.IsObject();
            out.tenants.push_back(
                {named ? number_or(tenant, "share", 0) : 0, named ? number_or(tenant, "quota_rps", 0) : 0});
        }
    }
    out.over_quota_worth = number_or(json, "over_share_worth", 1);
    out.worth_by_work = text_or(json, "counted_by", "request") == "work";
    out.tick = duration_or(json, "tick_ns");
    out.list_on_request = text_or(json, "discovery", "push") == "ask";
    out.tells_start = flag_or(family, "tells_start", false);
    out.progress_period = duration_or(family, "progress_ns");
    const std::string_view via = text_or(section(json, "reporting"), "via", "silent");
    out.reports_with_answers = via == "piggyback";
    out.reports_with_probes = via == "piggyback" || via == "pull";

    const Json& limits = section(json, "limits");
    out.probes = flag_or(limits, "probes", false);
    out.may_cancel = flag_or(limits, "cancel", false);
    out.second_copies = flag_or(limits, "second_copies", false);
    out.clients_honor_retry_after = flag_or(limits, "retry_after", false);
    out.marks_retry = flag_or(section(json, "clients"), "marks_retry", false);
    out.max_attempts = static_cast<Index>(integer_or(limits, "max_attempts", 1));
    out.max_retry_after = duration_or(limits, "max_retry_after_ns");
    out.cross_zone_price = number_or(section(json, "prices"), "cross_zone", 0);
    out.handshake_price = number_or(section(json, "prices"), "handshake", 0);
    out.probe_price = number_or(section(json, "prices"), "probe", 0);
    out.connect_timeout = duration_or(limits, "connect_timeout_ns");
    out.connection_idle = duration_or(limits, "conn_idle_ns");

    const Json& safety = section(json, "safety");
    out.answer_slack = duration_or(safety, "answer_slack_ns");
    out.drain_grace = duration_or(safety, "stop_sending_within_ns");
    out.list_valid = duration_or(safety, "ask_within_ns");
    out.cold_time = duration_or(safety, "cold_ns");
    out.cold_capacity = number_or(safety, "start_capacity", 1);
    out.overload_multiple = number_or(safety, "fall_multiple", 0);
    out.overload_time = duration_or(safety, "fall_ns");
    return out;
}

using ReportField = std::optional<double> Report::*;

std::vector<ReportField> read_report_fields(const Json& settings) {
    std::vector<ReportField> fields;
    const Json* list = find(section(settings, "reporting"), "fields");
    if (list == nullptr) return fields;
    if (!list->IsArray()) bad_field("fields", "an array");
    for (const Json& item : list->GetArray()) {
        const std::array<std::pair<std::string_view, ReportField>, 8> known{{
            {"load_share", &Report::utilisation},
            {"depth", &Report::queued},
            {"concurrent", &Report::in_flight},
            {"x0", &Report::free_slots},
            {"x1", &Report::free_memory},
            {"mean_ms", &Report::service_ms},
            {"tps", &Report::served_per_s},
            {"err_ps", &Report::errors_per_s},
        }};
        ReportField field = nullptr; // a field that is not known is skipped
        for (const auto& [name, member] : known) {
            if (name == to_text(item, "fields")) field = member;
        }
        fields.push_back(field);
    }
    return fields;
}

Outcome read_outcome(const Json& event) {
    switch (need_integer(event, "status")) {
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

template <class... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

// ---- One instance --------------------------------------------------------------------------------------

class Instance {
  public:
    explicit Instance(const Json& event)
        : dispatcher_(read_settings(event, names_)), fields_(read_report_fields(need(event, "settings"))) {}

    void read(const Json& event, std::string_view kind);
    void decide(Time now);
    bool has_actions() const { return !actions_.empty(); }
    void write(Writer& out);
    std::size_t names_held() const { return jobs_.size() + job_names_.size() + workers_.size(); }

  private:
    struct Name {
        std::string text;
        Index unsettled = 0;   // attempts still without an outcome
        bool over = false;     // the final answer is given
        bool released = false; // the id can be given to another job
    };

    JobId add_job(std::string_view text);
    std::optional<JobId> known_job(const Json& event) const;
    void release_if_done(JobId job);
    WorkerId worker_id(std::string_view address);
    std::optional<Report> read_report(const Json& event) const;
    EndpointListUpdate read_list(const Json& event);
    JobArrived read_job(const Json& event);

    Names names_;
    Dispatcher dispatcher_;
    std::vector<ReportField> fields_;
    std::vector<Event> events_;
    std::vector<Action> actions_;
    std::unordered_map<std::string, JobId> jobs_;
    std::vector<Name> job_names_;
    std::vector<JobId> free_ids_, touched_;
    std::unordered_map<std::string, WorkerId> workers_;
    std::vector<std::string> worker_names_;
};

JobId Instance::add_job(std::string_view text) {
    JobId job = 0;
    if (free_ids_.empty()) {
        job = static_cast<JobId>(job_names_.size());
        job_names_.emplace_back();
    } else {
        job = free_ids_.back();
        free_ids_.pop_back();
    }
    job_names_[job] = {.text = std::string(text)};
    if (!jobs_.emplace(job_names_[job].text, job).second) {
        throw WireError("job '" + std::string(text) + "' came twice");
    }
    return job;
}

std::optional<JobId> Instance::known_job(const Json& event) const {
    const auto found = jobs_.find(std::string(need_text(event, "job")));
    return found == jobs_.end() ? std::nullopt : std::optional<JobId>(found->second);
}

void Instance::release_if_done(JobId job) {
    Name& name = job_names_[job];
    if (name.released || !name.over || name.unsettled > 0) return;
    name.released = true;
    jobs_.erase(name.text);
    free_ids_.push_back(job);
}

WorkerId Instance::worker_id(std::string_view address) {
    const auto [found, added] =
        workers_.try_emplace(std::string(address), static_cast<WorkerId>(worker_names_.size()));
    if (added) worker_names_.emplace_back(address);
    return found->second;
}

std::optional<Report> Instance::read_report(const Json& event) const {
    const Json* values = find(event, "feedback");
    if (values == nullptr) return std::nullopt;
    if (!values->IsArray()) bad_field("feedback", "an array");
    Report report;
    for (rapidjson::SizeType i = 0; i < values->Size() && i < fields_.size(); ++i) {
        if (fields_[i] != nullptr && (*values)[i].IsNumber()) report.*fields_[i] = (*values)[i].GetDouble();
    }
    return report;
}

EndpointListUpdate Instance::read_list(const Json& event) {
    EndpointListUpdate news;
    news.kind = translate<EndpointListUpdate::Kind>(need_text(event, "how"),
                                                    {{"patch", EndpointListUpdate::Kind::changes},
                                                     {"whole", EndpointListUpdate::Kind::complete},
                                                     {"stale_copy", EndpointListUpdate::Kind::remembered},
                                                     {"broken", EndpointListUpdate::Kind::broken}},
                                                    "how");
    const Json* entries = find(event, "entries");
    if (entries == nullptr) return news;
    if (!entries->IsArray()) bad_field("entries", "an array");
    for (const Json& json : entries->GetArray()) {
        if (!json.IsObject()) bad_field("entries", "an array of objects");
        WorkerEntry entry;
        const std::string_view address = need_text(json, "runner");
        entry.worker = worker_id(address);
        entry.key = key_of(address);
        entry.up_since = duration_or(json, "came_up_ns");
        entry.kind = position_or_add(names_.kinds, text_or(json, "model", ""));
        entry.zone = position_or_add(names_.zones, text_or(json, "az", ""));
        entry.cell = static_cast<Index>(integer_or(json, "cell", 0));
        entry.condition = translate<Condition>(
            need_text(json, "condition"),
            {{"ready", Condition::ready}, {"draining", Condition::draining}, {"gone", Condition::gone}},
            "condition");
        entry.weight = number_or(json, "scale", 1);
        news.entries.push_back(entry);
    }
    return news;
}

JobArrived Instance::read_job(const Json& event) {
    JobArrived job;
    job.job_class = position(names_.classes, need_text(event, "profile"));
    if (job.job_class == none) throw WireError("field 'profile' names no class of the settings");
    if (const Json* tenant = find(event, "org"); tenant != nullptr && tenant->IsString()) {
        job.tenant = position(names_.tenants, to_text(*tenant, "org"));
    }
    if (find(event, "affinity") != nullptr) job.key = unsigned_or(event, "affinity", 0);
    job.time_left = Duration(need_integer(event, "left_ns"));
    job.hint = duration_or(event, "hint_ns");
    job.slots = number_or(event, "needs", 1);
    job.memory = number_or(event, "ram_units", 0);
    job.is_retry = flag_or(event, "again_by_client", false);
    job.job = add_job(need_text(event, "job"));
    return job;
}

void Instance::read(const Json& event, std::string_view kind) {
    const auto attempt = [&] { return static_cast<Index>(integer_or(event, "try", 0)); };
    const auto worker = [&] { return worker_id(need_text(event, "runner")); };
    if (kind == "job_in") {
        events_.emplace_back(read_job(event));
    } else if (kind == "verdict") {
        AttemptEnded ended{.attempt = attempt(),
                           .worker = worker(),
                           .outcome = read_outcome(event),
                           .latency = duration_or(event, "latency_ns"),
                           .job_over = flag_or(event, "no_more", false),
                           .report = read_report(event)};
        const auto job = known_job(event);
        if (!job) return; // a late word on a job that is done with
        ended.job = *job;
        Name& name = job_names_[*job];
        if (name.unsettled > 0) --name.unsettled;
        name.over = name.over || ended.job_over;
        touched_.push_back(*job);
        events_.emplace_back(ended);
    } else if (kind == "heartbeat") {
        const auto job = known_job(event);
        const auto what = need_integer(event, "what");
        if (!job) return;
        if (what == 1) {
            events_.emplace_back(AttemptStarted{*job, attempt(), worker()});
        } else if (what == 2) {
            events_.emplace_back(AttemptProgress{*job, attempt(), worker(), number_or(event, "x", 0)});
        }
    } else if (kind == "bell") {
        events_.emplace_back(TimerExpired{});
    } else if (kind == "discovery") {
        events_.emplace_back(read_list(event));
    } else if (kind == "withdrawn") {
        const auto job = known_job(event);
        if (!job) return;
        job_names_[*job].over = true;
        touched_.push_back(*job);
        events_.emplace_back(JobAbandoned{*job});
    } else if (kind == "head_received") {
        if (const auto job = known_job(event)) {
            events_.emplace_back(AnswerBegun{*job, attempt(), worker(), duration_or(event, "latency_ns")});
        }
    } else if (kind == "pong") {
        events_.emplace_back(
            Probed{worker(), read_outcome(event), duration_or(event, "latency_ns"), read_report(event)});
    } else if (kind == "peer_data") {
        // None is asked for here, and the module does not know it: nothing to tell it.
    } else {
        throw WireError("unknown event '" + std::string(kind) + "'");
    }
}

void Instance::decide(Time now) {
    dispatcher_.handle(now, events_, actions_);
    events_.clear();
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Instance::write(Writer& out) {
    const auto text = [&](const char* key, std::string_view value) {
        out.Key(key);
        out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    const auto number = [&](const char* key, std::int64_t value) {
        out.Key(key);
        out.Int64(value);
    };
    const auto job = [&](JobId id) { text("job", job_names_[id].text); };
    const auto final_answer = [&](JobId id) {
        job(id);
        job_names_[id].over = true;
        touched_.push_back(id);
    };
    for (const Action& action : actions_) {
        out.StartObject();
        std::visit(Overloaded{
                       [&](const Send& send) {
                           text("m", "hand_off");
                           job(send.job);
                           text("runner", worker_names_[send.worker]);
                           if (send.time_out.count() != 0) number("allow_for_ns", send.time_out.count());
                           ++job_names_[send.job].unsettled;
                       },
                       [&](const Refuse& refuse) {
                           text("m", "push_back");
                           final_answer(refuse.job);
                           if (refuse.retry_after.count() > 0)
                               number("stay_away_ns", refuse.retry_after.count());
                       },
                       [&](const Fail& fail) {
                           text("m", "fail");
                           final_answer(fail.job);
                       },
                       [&](const Cancel& cancel) {
                           text("m", "withdraw");
                           job(cancel.job);
                           number("try", cancel.attempt);
                       },
                       [&](const Probe& probe) {
                           text("m", "ping");
                           text("runner", worker_names_[probe.worker]);
                       },
                       [&](const Wake& wake) {
                           text("m", "wake_at");
                           number("when_ns", wake.at.count());
                           number("mark", 0);
                       },
                       [&](const WatchList& watch) {
                           text("m", "watch");
                           out.Key("active");
                           out.Bool(watch.active);
                       },
                   },
                   action);
        out.EndObject();
    }
    actions_.clear();
    for (const JobId id : touched_) {
        release_if_done(id);
    }
    touched_.clear();
}

// ---- The host ------------------------------------------------------------------------------------------

struct Host::Buffers {
    std::vector<char> space = std::vector<char>(1U << 20U);
    rapidjson::StringBuffer reply;
};

Host::Host() : buffers_(std::make_unique<Buffers>()) {}
Host::~Host() = default;

std::size_t Host::names_held() const {
    std::size_t held = 0;
    for (const auto& [id, instance] : instances_) {
        held += instance->names_held();
    }
    return held;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::string_view Host::handle_line(std::string& line) {
    rapidjson::MemoryPoolAllocator<> pool(buffers_->space.data(), buffers_->space.size());
    rapidjson::Document batch(&pool);
    batch.ParseInsitu<rapidjson::kParseFullPrecisionFlag>(line.data());
    if (batch.HasParseError()) {
        throw WireError(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
    }
    if (!batch.IsObject()) throw WireError("a batch must be an object");
    const Time now(need_integer(batch, "clock_ns"));

    buffers_->reply.Clear();
    Writer out(buffers_->reply);
    out.StartObject();
    out.Key("dispatchers");
    out.StartArray();
    for (const Json& group : need_array(batch, "dispatchers").GetArray()) {
        if (!group.IsObject()) bad_field("dispatchers", "an array of objects");
        const long long id = need_integer(group, "dispatcher_id");
        auto found = instances_.find(id);
        for (const Json& event : need_array(group, "news").GetArray()) {
            if (!event.IsObject()) bad_field("news", "an array of objects");
            const std::string_view kind = need_text(event, "m");
            if (kind == "new_instance") {
                found = instances_.insert_or_assign(id, std::make_unique<Instance>(event)).first;
                continue;
            }
            if (found == instances_.end()) throw WireError("unknown instance " + std::to_string(id));
            if (kind == "teardown") {
                instances_.erase(found);
                found = instances_.end();
            } else {
                found->second->read(event, kind);
            }
        }
        if (found == instances_.end()) continue;
        found->second->decide(now);
        const bool acts = found->second->has_actions();
        if (acts) {
            out.StartObject();
            out.Key("dispatcher_id");
            out.Int64(id);
            out.Key("decisions");
            out.StartArray();
        }
        found->second->write(out);
        if (acts) {
            out.EndArray();
            out.EndObject();
        }
    }
    out.EndArray();
    out.EndObject();
    return {buffers_->reply.GetString(), buffers_->reply.GetSize()};
}

} // namespace willowrill::simulator_adapter
