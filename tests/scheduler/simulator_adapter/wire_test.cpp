#include "scheduler/simulator_adapter/wire.h"

#include <gtest/gtest.h>

#include <string>

namespace willowrill::simulator_adapter {
namespace {

const std::string settings =
    R"({"balancers":1,"slot_no":0,"classes":[{"name":"look","effect":"read_like","aim_ns":400000000,)"
    R"("hard_limit_ns":5000000000,"new_key":[1]},{"name":"file","effect":"non_idempotent",)"
    R"("aim_ns":400000000,"hard_limit_ns":5000000000}],"discovery":"push","kinds":["std"],)"
    R"("zones":["hall"],"zone":"hall","unheard_of":{"x":1},"tick_ns":5000000,)"
    R"("limits":{"cancel":true,"max_attempts":3,"second_copies":true},)"
    R"("reporting":{"fields":["load_share","x0","novel"],"via":"piggyback"}})";

std::string batch(const std::string& time, const std::string& events, int id = 1) {
    return R"({"clock_ns":)" + time + R"(,"dispatchers":[{"dispatcher_id":)" + std::to_string(id) +
           R"(,"news":[)" + events + "]}]}";
}

const std::string new_instance =
    R"({"m":"new_instance","init_seed":18446744073709551615,"settings":)" + settings + "}";
const std::string list =
    R"({"m":"discovery","how":"stale_copy","gen":1,"entries":[{"runner":"10.0.0.1:80","model":"std",)"
    R"("az":"hall","condition":"ready","scale":1,"cell":0,"more":true}]})";

std::string job(const std::string& name, const std::string& profile = "look") {
    return R"({"m":"job_in","job":")" + name + R"(","profile":")" + profile +
           R"(","left_ns":5000000000,"needs":1,"affinity":9007199254740991})";
}

std::string verdict(const std::string& name, int status, bool is_final, int attempt = 0) {
    return R"({"m":"verdict","job":")" + name + R"(","try":)" + std::to_string(attempt) +
           R"(,"runner":"10.0.0.1:80","status":)" + std::to_string(status) +
           (is_final ? R"(,"no_more":true)" : "") + R"(,"latency_ns":1000000,"feedback":[0.5,3,1]})";
}

struct Wire : ::testing::Test {
    std::string send(std::string line) { return std::string(host.handle_line(line)); }
    std::string send(const std::string& time, const std::string& events) { return send(batch(time, events)); }
    void start() { send("1000", new_instance + "," + list); }
    Host host;
};

TEST_F(Wire, AnEmptyBatchHasAnEmptyReply) {
    EXPECT_EQ(send(R"({"clock_ns":5,"dispatchers":[]})"), R"({"dispatchers":[]})");
}

TEST_F(Wire, AJobIsHandedOffInTheProtocolsFormat) {
    start();
    const std::string reply = send("2000", job("c:1"));
    EXPECT_NE(reply.find(R"({"m":"hand_off","job":"c:1","runner":"10.0.0.1:80"})"), std::string::npos)
        << reply;
    EXPECT_EQ(reply.find(R"({"dispatchers":[{"dispatcher_id":1,"decisions":[)"), 0U) << reply;
}

TEST_F(Wire, ClockValuesUpTo2To63AreExact) {
    start();
    const std::string reply = send("9223372030000000001", job("c:1"));
    EXPECT_NE(reply.find(R"("when_ns":9223372031200000001,)"), std::string::npos) << reply;
}

TEST_F(Wire, TeardownAndRestartInOneBatchForgetTheOldJobs) {
    start();
    send("2000", job("c:1"));
    EXPECT_EQ(send("3000", R"({"m":"teardown"},)" + new_instance + "," + list).find("hand_off"),
              std::string::npos);
    EXPECT_NO_THROW(send("4000", job("c:1")));
}

TEST_F(Wire, AnInstanceThatWasTornDownIsUnknown) {
    start();
    EXPECT_EQ(send("2000", R"({"m":"teardown"})"), R"({"dispatchers":[]})");
    EXPECT_THROW(send("3000", job("c:1")), WireError);
}

TEST_F(Wire, LateEventsOfFinishedJobsAreIgnored) {
    start();
    send("2000", job("c:1"));
    send("3000", verdict("c:1", 100, true) + R"(,{"m":"withdrawn","job":"c:1"})");
    EXPECT_NO_THROW(send("4000", verdict("c:1", 100, true)));
    EXPECT_NO_THROW(send("4000", R"({"m":"withdrawn","job":"c:1"})"));
    EXPECT_NO_THROW(
        send("5000", R"({"m":"heartbeat","job":"c:1","try":0,"runner":"10.0.0.1:80","what":2,"x":0.5})"));
}

TEST_F(Wire, TablesDoNotGrowWithFinishedJobs) {
    start();
    std::size_t name_count = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string name = "c:" + std::to_string(i);
        send("2000", job(name));
        send("2000", verdict(name, 100, true));
        if (i == 10) name_count = host.tracked_name_count();
    }
    EXPECT_EQ(host.tracked_name_count(), name_count);
}

TEST_F(Wire, InstancesShareNothing) {
    start();
    EXPECT_THROW(send(batch("2000", job("c:1"), 2)), WireError);
    send(batch("2000", new_instance, 2));
    EXPECT_EQ(send(batch("3000", job("c:1"), 2)).find("hand_off"), std::string::npos); // it has no workers
}

TEST_F(Wire, ABrokenListKeepsTheOldOne) {
    start();
    send("2000", R"({"m":"discovery","how":"broken"})");
    EXPECT_NE(send("3000", job("c:1")).find("hand_off"), std::string::npos);
}

TEST_F(Wire, EveryEventAndOutcomeIsUnderstood) {
    start();
    for (const int status : {100, 301, 302, 303, 304, 305, 306, 307}) {
        const std::string name = "c:" + std::to_string(status);
        send("2000", job(name));
        EXPECT_NO_THROW(send("3000", verdict(name, status, true)));
    }
    EXPECT_NO_THROW(send("4000", R"({"m":"bell","mark":9223372036854775808},)"
                                 R"({"m":"pong","runner":"10.0.0.1:80","status":303,"latency_ns":5},)"
                                 R"({"m":"peer_data","who":3,"content":"aGkgNw=="})"));
    send("5000", job("c:s"));
    EXPECT_NO_THROW(send("6000", R"({"m":"head_received","job":"c:s","try":0,"runner":"10.0.0.1:80"},)"
                                 R"({"m":"heartbeat","job":"c:s","try":0,"runner":"10.0.0.1:80","what":1})"));
}

TEST_F(Wire, AProbeIsSentAsAPingAndAnsweredByAPong) {
    std::string probe_settings = settings;
    probe_settings.replace(probe_settings.find("\"cancel\""), 0, "\"probes\":true,");
    probe_settings.replace(probe_settings.find("piggyback"), 9, "pull");
    send("1000", R"({"m":"new_instance","init_seed":1,"settings":)" + probe_settings + "}," + list);
    const std::string ping = R"({"m":"ping","runner":"10.0.0.1:80"})";
    EXPECT_NE(send("2000000000", R"({"m":"bell","mark":0})").find(ping), std::string::npos);
    EXPECT_EQ(send("4000000000", R"({"m":"bell","mark":0})").find(ping),
              std::string::npos); // the first one is still pending
    EXPECT_NE(send("4100000000", R"({"m":"pong","runner":"10.0.0.1:80","status":100,"latency_ns":5,)"
                                 R"("feedback":[0.5,3,1]})")
                  .find(ping),
              std::string::npos);
    EXPECT_NO_THROW(send("7000000000", R"({"m":"pong","runner":"10.9.9.9:80","status":100,"latency_ns":5})"));
}

TEST_F(Wire, MalformedInputIsRejected) {
    start();
    EXPECT_THROW(send("{"), WireError);
    EXPECT_THROW(send("[]"), WireError);
    EXPECT_THROW(send(R"({"dispatchers":[]})"), WireError);
    EXPECT_THROW(send("2000", R"({"m":"job_in","job":"c:9","profile":"look"})"), WireError);
    EXPECT_THROW(send("2000", R"({"m":"job_in","job":"c:9","profile":"other","left_ns":5})"), WireError);
    EXPECT_THROW(send("2000", R"({"m":"unheard_of"})"), WireError);
    EXPECT_THROW(send("2000", R"({"m":"verdict","job":"c:9","try":0,"runner":"r","status":99})"), WireError);
}

TEST_F(Wire, AMegabyteBatchIsHandled) {
    start();
    std::string events = job("c:0");
    for (int i = 1; i < 10000; ++i) {
        events += "," + job("c:" + std::to_string(i));
    }
    EXPECT_GT(events.size(), 1U << 20U);
    EXPECT_NO_THROW(send("2000", events));
}

} // namespace
} // namespace willowrill::simulator_adapter
