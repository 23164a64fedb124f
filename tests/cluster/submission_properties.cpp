// Properties of submissions, checked with random spellings against real controllers: a sound submission is accepted and
// its job known in every other spelling, at every controller, after its end and after a restart of all; an unsound one
// gets 400 and leaves nothing.
//
// Whether a body is sound follows from how it was made, so the test shares no code with the service's reader.
//
// Usage: submission_properties_test PROGRAM. The seed and the number of bodies come from RC_PARAMS.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include <glib.h>

#include "../standin/cloud.h"
#include "../standin/cluster.h"
#include "../standin/store.h"
#include "../standin/workers.h"
#include "clock/clock.h"
}

namespace {

constexpr int kControllers = 3;
constexpr int kBodyMaxBytes = 64 * 1024;
constexpr int kReadyTimeoutS = 20;
constexpr int kAttemptsMax = 200;
constexpr double kRetryIntervalS = 0.1;
constexpr double kDoneTimeoutS = 60;
constexpr int kFirstJob = 600000;  // the stand-ins' workers complete the tasks of jobs whose ids begin with 6
constexpr char kTeams[] = "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":1000,\"gpus\":0,\"gpus_max\":16}]";

struct Member {
    std::string name, value;  // JSON texts; the name with its quotes
};

class Random {
   public:
    explicit Random(uint32_t seed) : engine_(seed) {}
    int below(int limit) { return static_cast<int>(engine_() % static_cast<uint32_t>(limit)); }
    bool once_in(int n) { return below(n) == 0; }
    const std::string &pick(const std::vector<std::string> &items) {
        return items[static_cast<size_t>(below(static_cast<int>(items.size())))];
    }
    std::mt19937 &engine() { return engine_; }

   private:
    std::mt19937 engine_;
};

// ---- spellings of known fields ----

std::string spaces(Random &random) {
    std::string text;
    while (random.once_in(4)) text += " \t\r\n"[random.below(4)];
    return text;
}

// An ASCII string, with random characters as escapes.
std::string spell_string(Random &random, const std::string &text) {
    std::string spelled = "\"";
    for (char c : text) {
        char escape[8];
        std::snprintf(escape, sizeof escape, random.once_in(2) ? "\\u%04x" : "\\u%04X", c);
        spelled += random.once_in(6) ? escape : std::string(1, c);
    }
    return spelled + "\"";
}

std::string spell_number(Random &random, int n) {
    std::string digits = std::to_string(n);
    std::string zeros(static_cast<size_t>(random.once_in(20) ? random.below(500) : random.below(4)), '0');
    switch (random.below(6)) {
        case 0:
            return digits + ".0" + zeros;
        case 1:
            return digits + "e0";
        case 2:
            return n == 0 ? "0e-7" : digits + "0" + zeros + "e-" + std::to_string(1 + zeros.size());
        case 3:
            return n < 10 ? "0." + digits + "E+1" : digits + "E+0";
        default:
            return digits;
    }
}

struct Job {
    std::string id;
    int tasks;
};

// The known members of a job. Optional members are null, absent or given.
std::vector<Member> known_members(Random &random, const Job &job) {
    auto number = [&](int n) { return spell_number(random, n); };
    auto string = [&](const char *text) { return spell_string(random, text); };
    std::vector<Member> members = {
        {"uid", spell_string(random, job.id)},
        {"jobclass", string("nightly")},
        {"owner", string("red")},
        {"shape", string("batch")},
        {"rank", string("high")},
        {"tasks", number(job.tasks)},
        {"vcpus", number(1)},
        {"gpus", number(0)},
        {"memory_gb", number(1)},
        {"image", string("img/a")},
        {"pull_gb", number(1)},
        {"together", "false"},
        {"spread", "false"},
        {"reclaimable", random.once_in(2) ? "true" : "false"},
        {"runtime_s", number(1)},
        {"checkpoint_s", number(0)},
        {"flush_s", number(0)},
    };
    const std::vector<Member> optional = {
        {"flavours", "[" + string("g4") + spaces(random) + "," + string("other") + "," + string("g4") + "]"},
        {"site", string("za")},
        {"due_s", number(900)},
        {"prereqs", "[]"},
    };
    for (const Member &member : optional) {
        int form = random.below(3);
        if (form > 0) members.push_back({member.name, form == 1 ? member.value : "null"});
    }
    for (Member &member : members) member.name = spell_string(random, member.name);
    return members;
}

// ---- unknown fields ----

std::string unknown_scalar(Random &random) {
    static const std::vector<std::string> scalars = {"null",
                                                     "true",
                                                     "-0",
                                                     "1e999",
                                                     "-1.5E-300",
                                                     "18446744073709551615",
                                                     "1e-400",
                                                     "\"\"",
                                                     "\"\\u0000\"",
                                                     "\"\\ud800\"",
                                                     "\"\\udc00\\ud800\"",
                                                     "\"\\ud83d\\ude00\"",
                                                     "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
                                                     "\"\xe6\x97\xa5\xe6\x9c\xac \xf0\x9f\x98\x80\"",
                                                     "\"\x7f\"",
                                                     "\"{\\\"uid\\\":\\\"req-1\\\"}\"",
                                                     "[]",
                                                     "{}"};
    if (random.once_in(15)) return std::string(static_cast<size_t>(1 + random.below(3000)), '9');
    if (random.once_in(15)) return "\"" + std::string(static_cast<size_t>(random.below(9000)), 'x') + "\"";
    return random.pick(scalars);
}

std::string unknown_name(Random &random) {
    static const std::vector<std::string> names = {
        "\"\"",           "\"UID\"",          "\"uid \"",         "\"uid\\u0000\"", "\"uid\\u0000x\"",
        "\"\\u0000uid\"", "\"tasks\\u0000\"", "\"owner\\ud800\"", "\"x_labels\"",   "\"\xe6\x97\xa5\"",
        "\"state\"",      "\"spec\"",         "\"u\\u0131d\"",    "\"0\""};
    if (random.once_in(15)) return "\"" + std::string(static_cast<size_t>(1 + random.below(2000)), 'n') + "\"";
    if (random.once_in(3)) return "\"x_" + std::to_string(random.below(1000000)) + "\"";
    return random.pick(names);
}

std::string unknown_value(Random &random, int depth) {
    if (random.once_in(40)) {
        int levels = 1 + random.below(4000);
        std::string opening, closing(static_cast<size_t>(levels), '}');
        for (int i = 0; i < levels; i++) opening += "{\"a\":";
        bool arrays = random.once_in(2);
        if (arrays)
            return std::string(static_cast<size_t>(levels), '[') + std::string(static_cast<size_t>(levels), ']');
        return opening + "1" + closing;
    }
    if (depth > 3 || random.once_in(2)) return unknown_scalar(random);
    bool is_array = random.once_in(2);
    std::string text;
    for (int i = random.below(4); i > 0; i--) {
        std::string name = random.once_in(3) ? "\"uid\"" : unknown_name(random);  // known names are unknown inside
        text += (text.empty() ? "" : ",") + (is_array ? "" : name + ":") + unknown_value(random, depth + 1);
    }
    return is_array ? "[" + text + "]" : "{" + text + "}";
}

// ---- bodies ----

std::string print(Random &random, const std::vector<Member> &members) {
    std::string text = spaces(random) + "{";
    for (size_t i = 0; i < members.size(); i++)
        text += (i ? "," : "") + spaces(random) + members[i].name + spaces(random) + ":" + spaces(random) +
                members[i].value + spaces(random);
    return text + "}" + spaces(random);
}

std::string sound_body(Random &random, const Job &job) {
    for (;;) {
        std::vector<Member> members = known_members(random, job);
        std::vector<Member> repeated;  // these come first, so the later ones count
        if (random.once_in(8)) repeated.push_back({"\"tasks\"", random.once_in(2) ? "7" : "\"invalid\""});
        if (random.once_in(8)) repeated.push_back({"\"uid\"", "\"req-599999\""});
        int n_unknown = random.once_in(10) ? random.below(800) : random.below(8);
        for (int i = 0; i < n_unknown; i++) members.push_back({unknown_name(random), unknown_value(random, 0)});
        std::shuffle(members.begin(), members.end(), random.engine());
        members.insert(members.begin(), repeated.begin(), repeated.end());
        std::string body = print(random, members);
        if (body.size() <= kBodyMaxBytes) return body;
    }
}

// Values that are invalid for the member of this name.
std::string invalid_value(Random &random, const std::string &name) {
    if (name == "uid")
        return random.pick({"\"req-1\\u0000\"", "\"req-\"", "\"job-1\"", "7", "null", "[]", "\"req-1\\ud800\""});
    if (name == "tasks")
        return random.pick({"0", "-1", "1.5", "100001", "\"1\"", "null", "1e999", "18446744073709551615"});
    if (name == "vcpus") return random.pick({"0", "-1", "1e999", "\"1\"", "null", "{}", "true"});
    if (name == "together") return random.pick({"0", "\"false\"", "null", "[]", "\"\\u0000\"", "\"\\ud800\""});
    if (name == "jobclass") return random.pick({"\"\"", "null", "1", "\"a\\u0000b\"", "\"\\udc00\""});
    return random.pick({"\"x\"", "{}", "[1]", "[null]", "[\"a\\u0000\"]", "7", "true"});  // flavours
}

const std::vector<std::string> kRequired = {"uid", "tasks", "vcpus", "together", "jobclass"};

std::string unsound_body(Random &random, const Job &job) {
    std::string sound = sound_body(random, job);
    std::vector<Member> members;
    switch (random.below(5)) {
        case 0:  // cut short
            return sound.substr(0, static_cast<size_t>(random.below(static_cast<int>(sound.rfind('}') + 1))));
        case 1:  // followed by something else
            return sound + random.pick({"x", "{}", ",", "]", "}", "\"", "0", "null", "//"});
        case 2:  // with a member that is not JSON
            members = known_members(random, job);
            members.push_back({"\"x\"", random.pick({"01",
                                                     "+1",
                                                     ".5",
                                                     "1.",
                                                     "NaN",
                                                     "nul",
                                                     "'x'",
                                                     "\"\t\"",
                                                     "\"\\x\"",
                                                     "\"\\u00g0\"",
                                                     "\"\xc3\x28\"",
                                                     "\"\xc0\x80\"",
                                                     "\"\xed\xa0\x80\"",
                                                     "\"\xff\"",
                                                     "[1,]",
                                                     "[1 2]",
                                                     "{\"a\"}",
                                                     "{\"a\":1,}",
                                                     "{a:1}",
                                                     "\"open",
                                                     "1e",
                                                     "-",
                                                     "[",
                                                     "{",
                                                     "/**/1"})});
            break;
        case 3:  // without a required field
            members = known_members(random, job);
            members.erase(members.begin() + random.below(17));
            break;
        default: {  // with an invalid field, which comes last and so counts
            std::string name = random.once_in(6) ? "flavours" : random.pick(kRequired);
            members = known_members(random, job);
            members.push_back({"\"" + name + "\"", invalid_value(random, name)});
            return print(random, members);
        }
    }
    std::shuffle(members.begin(), members.end(), random.engine());
    return print(random, members);
}

// ---- requests ----

long request(int first, const char *method, const std::string &path, const char *body, std::string *state = nullptr) {
    long status = 0;
    char text[32] = "";
    for (int attempt = 0; attempt < kAttemptsMax && (status == 0 || status >= 429); attempt++) {
        status = cluster_request((first + attempt) % kControllers, method, path.c_str(), body, text, sizeof text);
        if (status == 0 || status >= 429) clock_sleep(clock_from_seconds(kRetryIntervalS));
    }
    if (state) *state = text;
    return status;
}

long submit(int first, const std::string &body) { return request(first, "POST", "/work", body.c_str()); }

bool has_record(const Job &job) {
    char *record = standin_store_value(("job/" + job.id).c_str());
    bool found = record != nullptr;
    g_free(record);
    return found;
}

std::vector<Job> accepted;

Job next_job(Random &random) {
    static int n_jobs = 0;
    return Job{"req-" + std::to_string(kFirstJob + n_jobs++), 1 + random.below(2)};
}

void expect_status(long expected, long status, const std::string &body) {
    if (status == expected) return;
    std::printf("status %ld instead of %ld for %zu bytes:\n%.3000s\n", status, expected, body.size(), body.c_str());
    RC_FAIL("wrong status");
}

void sound_submission_is_accepted_and_known(uint32_t seed) {
    Random random(seed);
    Job job = next_job(random);
    std::string body = sound_body(random, job), other_spelling = sound_body(random, job);
    int controller = random.below(kControllers);
    expect_status(201, submit(controller, body), body);
    expect_status(200, submit(controller + 1, other_spelling), other_spelling);
    expect_status(200, request(controller + 2, "GET", "/work/" + job.id, nullptr), job.id);
    accepted.push_back(job);
}

void unsound_submission_is_refused_without_a_trace(uint32_t seed) {
    Random random(seed);
    Job job = next_job(random);
    std::string body = unsound_body(random, job);
    expect_status(400, submit(random.below(kControllers), body), body);
    expect_status(404, request(random.below(kControllers), "GET", "/work/" + job.id, nullptr), body);
    RC_ASSERT(!has_record(job));
}

bool is_done_and_ran_once(uint32_t index) {
    const Job &job = accepted[index];
    std::string state;
    Random random(index);
    std::string body = sound_body(random, job);
    long status = request(static_cast<int>(index), "POST", "/work", body.c_str(), &state);
    int starts = standin_workers_starts_by_prefix((job.id + "/").c_str());
    if (status == 200 && state == "done" && starts == job.tasks) return true;
    std::printf("%s: status %ld, state %s, %d starts of %d tasks\n", job.id.c_str(), status, state.c_str(), starts,
                job.tasks);
    return false;
}

bool wait_until_done() {
    for (const Job &job : accepted)
        if (!cluster_wait_for_job_state(job.id.c_str(), "done", kDoneTimeoutS)) return false;
    return true;
}

bool all_are_known_after_a_restart() {
    for (int index = 0; index < kControllers; index++) cluster_kill_controller(index);
    for (int index = 0; index < kControllers; index++) cluster_start_controller(index);
    bool known = true;
    for (size_t i = 0; i < accepted.size(); i++) known &= is_done_and_ran_once(static_cast<uint32_t>(i));
    return known;
}

bool start(const char *program) {
    cluster_settings settings = {};
    settings.controllers = kControllers;
    settings.shards = kControllers;
    settings.teams[0] = kTeams;
    if (!cluster_start(program, &settings)) return false;
    standin_cloud_stop_refusing_rentals();
    for (int index = 0; index < kControllers; index++) cluster_start_controller(index);
    return cluster_wait_for_shard_owners(kReadyTimeoutS);
}

}  // namespace

int main(int argc, char **argv) {
    if (argc < 2 || !start(argv[1])) return 2;
    bool held = rc::check("a sound submission is accepted, and known in another spelling at another controller",
                          sound_submission_is_accepted_and_known);
    held &=
        rc::check("an unsound submission is refused and leaves nothing", unsound_submission_is_refused_without_a_trace);
    bool done = wait_until_done();
    std::printf("%zu accepted jobs are done: %s\n", accepted.size(), done ? "yes" : "NO");
    bool known = all_are_known_after_a_restart();
    std::printf("all are known in another spelling after a restart, and ran once: %s\n", known ? "yes" : "NO");
    cluster_teardown();
    return held && done && known ? 0 : 1;
}
