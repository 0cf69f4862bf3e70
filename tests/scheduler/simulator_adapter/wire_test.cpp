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

std::string batch(const std::string& time, const std::string& news, int id = 1) {
    return R"({"clock_ns":)" + time + R"(,"dispatchers":[{"dispatcher_id":)" + std::to_string(id) +
           R"(,"news":[)" + news + "]}]}";
}

const std::string birth =
    R"({"m":"new_instance","init_seed":18446744073709551615,"settings":)" + settings + "}";
const std::string list =
    R"({"m":"discovery","how":"stale_copy","gen":1,"entries":[{"runner":"10.0.0.1:80","model":"std",)"
    R"("az":"hall","condition":"ready","scale":1,"cell":0,"more":true}]})";

std::string job(const std::string& name, const std::string& profile = "look") {
    return R"({"m":"job_in","job":")" + name + R"(","profile":")" + profile +
           R"(","left_ns":5000000000,"needs":1,"affinity":9007199254740991})";
}

std::string verdict(const std::string& name, int status, bool over, int attempt = 0) {
    return R"({"m":"verdict","job":")" + name + R"(","try":)" + std::to_string(attempt) +
           R"(,"runner":"10.0.0.1:80","status":)" + std::to_string(status) +
           (over ? R"(,"no_more":true)" : "") + R"(,"latency_ns":1000000,"feedback":[0.5,3,1]})";
}

struct Wire : ::testing::Test {
    std::string say(std::string line) { return std::string(host.handle_line(line)); }
    std::string say(const std::string& time, const std::string& news) { return say(batch(time, news)); }
    void start() { say("1000", birth + "," + list); }
    Host host;
};

TEST_F(Wire, AnEmptyBatchHasAnEmptyReply) {
    EXPECT_EQ(say(R"({"clock_ns":5,"dispatchers":[]})"), R"({"dispatchers":[]})");
}

TEST_F(Wire, AJobIsHandedOffInTheWiresWords) {
    start();
    const std::string reply = say("2000", job("c:1"));
    EXPECT_NE(reply.find(R"({"m":"hand_off","job":"c:1","runner":"10.0.0.1:80"})"), std::string::npos)
        << reply;
    EXPECT_EQ(reply.find(R"({"dispatchers":[{"dispatcher_id":1,"decisions":[)"), 0U) << reply;
}

TEST_F(Wire, ClockValuesUpTo2To63AreExact) {
    start();
    const std::string reply = say("9223372030000000001", job("c:1"));
    EXPECT_NE(reply.find(R"("when_ns":9223372031200000001,)"), std::string::npos) << reply;
}

TEST_F(Wire, TeardownAndRestartInOneBatchForgetTheOldJobs) {
    start();
    say("2000", job("c:1"));
    EXPECT_EQ(say("3000", R"({"m":"teardown"},)" + birth + "," + list).find("hand_off"), std::string::npos);
    EXPECT_NO_THROW(say("4000", job("c:1")));
}

TEST_F(Wire, AnInstanceThatWasTornDownIsUnknown) {
    start();
    EXPECT_EQ(say("2000", R"({"m":"teardown"})"), R"({"dispatchers":[]})");
    EXPECT_THROW(say("3000", job("c:1")), WireError);
}

TEST_F(Wire, LateWordsOnEndedJobsAreIgnored) {
    start();
    say("2000", job("c:1"));
    say("3000", verdict("c:1", 100, true) + R"(,{"m":"withdrawn","job":"c:1"})");
    EXPECT_NO_THROW(say("4000", verdict("c:1", 100, true)));
    EXPECT_NO_THROW(say("4000", R"({"m":"withdrawn","job":"c:1"})"));
    EXPECT_NO_THROW(
        say("5000", R"({"m":"heartbeat","job":"c:1","try":0,"runner":"10.0.0.1:80","what":2,"x":0.5})"));
}

TEST_F(Wire, TablesDoNotGrowWithJobsDone) {
    start();
    std::size_t held = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string name = "c:" + std::to_string(i);
        say("2000", job(name));
        say("2000", verdict(name, 100, true));
        if (i == 10) held = host.names_held();
    }
    EXPECT_EQ(host.names_held(), held);
}

TEST_F(Wire, InstancesShareNothing) {
    start();
    EXPECT_THROW(say(batch("2000", job("c:1"), 2)), WireError);
    say(batch("2000", birth, 2));
    EXPECT_EQ(say(batch("3000", job("c:1"), 2)).find("hand_off"), std::string::npos); // it knows no worker
}

TEST_F(Wire, ABrokenListKeepsTheOldOne) {
    start();
    say("2000", R"({"m":"discovery","how":"broken"})");
    EXPECT_NE(say("3000", job("c:1")).find("hand_off"), std::string::npos);
}

TEST_F(Wire, EveryEventAndOutcomeIsUnderstood) {
    start();
    for (const int status : {100, 301, 302, 303, 304, 305, 306, 307}) {
        const std::string name = "c:" + std::to_string(status);
        say("2000", job(name));
        EXPECT_NO_THROW(say("3000", verdict(name, status, true)));
    }
    EXPECT_NO_THROW(say("4000", R"({"m":"bell","mark":9223372036854775808},)"
                                R"({"m":"pong","runner":"10.0.0.1:80","status":303,"latency_ns":5},)"
                                R"({"m":"peer_data","who":3,"content":"aGkgNw=="})"));
    say("5000", job("c:s"));
    EXPECT_NO_THROW(say("6000", R"({"m":"head_received","job":"c:s","try":0,"runner":"10.0.0.1:80"},)"
                                R"({"m":"heartbeat","job":"c:s","try":0,"runner":"10.0.0.1:80","what":1})"));
}

TEST_F(Wire, AProbeIsAPingAndItsAnswerAPong) {
    std::string allowed = settings;
    allowed.replace(allowed.find("\"cancel\""), 0, "\"probes\":true,");
    allowed.replace(allowed.find("piggyback"), 9, "pull");
    say("1000", R"({"m":"new_instance","init_seed":1,"settings":)" + allowed + "}," + list);
    const std::string ping = R"({"m":"ping","runner":"10.0.0.1:80"})";
    EXPECT_NE(say("2000000000", R"({"m":"bell","mark":0})").find(ping), std::string::npos);
    EXPECT_EQ(say("4000000000", R"({"m":"bell","mark":0})").find(ping), std::string::npos); // one at a time
    EXPECT_NE(say("4100000000", R"({"m":"pong","runner":"10.0.0.1:80","status":100,"latency_ns":5,)"
                                R"("feedback":[0.5,3,1]})")
                  .find(ping),
              std::string::npos);
    EXPECT_NO_THROW(say("7000000000", R"({"m":"pong","runner":"10.9.9.9:80","status":100,"latency_ns":5})"));
}

TEST_F(Wire, MalformedInputIsRefusedInPlainWords) {
    start();
    EXPECT_THROW(say("{"), WireError);
    EXPECT_THROW(say("[]"), WireError);
    EXPECT_THROW(say(R"({"dispatchers":[]})"), WireError);
    EXPECT_THROW(say("2000", R"({"m":"job_in","job":"c:9","profile":"look"})"), WireError);
    EXPECT_THROW(say("2000", R"({"m":"job_in","job":"c:9","profile":"other","left_ns":5})"), WireError);
    EXPECT_THROW(say("2000", R"({"m":"unheard_of"})"), WireError);
    EXPECT_THROW(say("2000", R"({"m":"verdict","job":"c:9","try":0,"runner":"r","status":99})"), WireError);
}

TEST_F(Wire, AMegabyteBatchIsHandled) {
    start();
    std::string news = job("c:0");
    for (int i = 1; i < 10000; ++i) {
        news += "," + job("c:" + std::to_string(i));
    }
    EXPECT_GT(news.size(), 1U << 20U);
    EXPECT_NO_THROW(say("2000", news));
}

} // namespace
} // namespace willowrill::simulator_adapter
