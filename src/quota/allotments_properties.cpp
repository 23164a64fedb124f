// Properties of the pure core of divided teams, on random sequences of operations (RapidCheck shrinks those that fail).
// The seed is fixed by the test's environment, so that a run repeats.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

extern "C" {
#include "allotments.h"
}

namespace {

constexpr int kSize = 5;  // shards of the cluster
constexpr int kHome = 1;
constexpr int kUnit = 1000;
constexpr int kRoundsToSettle = 40;

enum class Kind { kBook, kRelease, kRebalance, kChange, kPrune };

struct Operation {
    Kind kind;
    int shard;  // by position among the allotments
    int vcpus, gpus;
    int shards;       // of a change
    unsigned owners;  // one bit an allotment: whose owner acts
};

std::ostream &operator<<(std::ostream &out, const Operation &o) {
    return out << "{" << static_cast<int>(o.kind) << " share " << o.shard << " " << o.vcpus << "/" << o.gpus
               << " shares " << o.shards << " owners " << o.owners << "}";
}

quota_amount amount(int vcpus, int gpus) { return quota_amount{{int64_t{vcpus} * kUnit, int64_t{gpus} * kUnit}}; }

rc::Gen<Operation> operations() {
    return rc::gen::build<Operation>(
        rc::gen::set(&Operation::kind,
                     rc::gen::element(Kind::kBook, Kind::kBook, Kind::kBook, Kind::kRelease, Kind::kRebalance,
                                      Kind::kRebalance, Kind::kChange, Kind::kPrune)),
        rc::gen::set(&Operation::shard, rc::gen::inRange(0, QUOTA_SHARDS_MAX)),
        rc::gen::set(&Operation::vcpus, rc::gen::inRange(0, 9)), rc::gen::set(&Operation::gpus, rc::gen::inRange(0, 5)),
        rc::gen::set(&Operation::shards, rc::gen::inRange(1, kSize + 1)),
        rc::gen::set(&Operation::owners, rc::gen::inRange(0u, 1u << kSize)));
}

struct Team {
    quota_record record;
    std::array<quota_amount, kSize> used_by_shard{};  // by shard, whatever allotments there are

    std::vector<quota_amount> used() const {
        std::vector<quota_amount> out(QUOTA_SHARDS_MAX);
        for (int i = 0; i < record.n_allotments; i++) out[i] = used_by_shard[record.allotments[i].shard];
        return out;
    }
    quota_amount total() const {
        quota_amount sum{};
        for (const auto &u : used_by_shard) sum = quota_amount_sum(sum, u);
        return sum;
    }
};

bool within(quota_amount a, quota_amount b) { return quota_amount_equal(quota_amount_least(a, b), a); }

std::vector<quota_demand> demands_of(const std::vector<Operation> &operations, const quota_record &r) {
    std::vector<quota_demand> out;
    for (const auto &o : operations) {
        if (o.vcpus + o.gpus == 0) continue;
        out.push_back({r.allotments[o.shard % r.n_allotments].shard, o.shards, amount(o.vcpus, o.gpus), o.kind == Kind::kBook,
                       o.kind != Kind::kPrune});
    }
    return out;
}

// Applies one operation, and checks what must hold of it whatever came before.
void apply(Team &team, const Operation &o, const std::vector<quota_demand> &demands) {
    quota_record &r = team.record;
    const auto used = team.used();
    const auto targets =
        quota_targets(&r, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
    const int part = o.shard % r.n_allotments, shard = r.allotments[part].shard;
    const quota_amount size = amount(o.vcpus, o.gpus);
    if (o.kind == Kind::kBook) {
        const bool closing = quota_allotment_closing(&r, kHome, kSize, shard);
        const auto may = quota_allowance(&r, part, r.limit, used.data(), &targets, closing);
        const auto next = quota_amount_sum(used[part], size);
        if (size.of[0] + size.of[1] == 0 || !within(next, may)) return;
        team.used_by_shard[shard] = next;
        // The limit may have been lowered below what runs, but no start leads above it.
        for (int d = 0; d < QUOTA_DIMENSIONS; d++)
            RC_ASSERT(r.limit.of[d] == 0 || size.of[d] == 0 || team.total().of[d] <= r.limit.of[d]);
    } else if (o.kind == Kind::kRelease) {
        for (int d = 0; d < QUOTA_DIMENSIONS; d++)
            team.used_by_shard[shard].of[d] = std::max<int64_t>(team.used_by_shard[shard].of[d] - size.of[d], 0);
    } else if (o.kind == Kind::kRebalance) {
        bool owned[QUOTA_SHARDS_MAX] = {};
        const quota_record before = r;
        for (int i = 0; i < r.n_allotments; i++) owned[i] = (o.owners >> r.allotments[i].shard & 1) != 0;
        quota_rebalance(&r, kHome, kSize, used.data(), &targets, owned);
        for (int i = 0; i < r.n_allotments; i++) {
            const bool lowered = !within(before.allotments[i].limit, r.allotments[i].limit);
            RC_ASSERT(owned[i] || quota_amount_equal(before.allotments[i].limit, r.allotments[i].limit));
            RC_ASSERT(!lowered || within(used[i], quota_amount_most(r.allotments[i].limit, quota_amount{})) ||
                      !within(used[i], before.allotments[i].limit));
        }
        RC_ASSERT(r.epoch == before.epoch);
    } else if (o.kind == Kind::kChange) {
        const quota_amount limit = amount(o.vcpus * 4, 4 + o.gpus * 4);
        const int64_t epoch = r.epoch;
        quota_record_change(&r, kHome, kSize, o.shards, limit, quota_amount_least(limit, amount(o.vcpus, o.gpus)));
        RC_ASSERT(r.epoch == epoch + 1);
    } else {
        quota_record_prune(&r, kHome, kSize, used.data());
    }
}

Team created(int shards) { return Team{quota_record_create(kHome, kSize, shards, amount(40, 16), amount(10, 4)), {}}; }

}  // namespace

int main() {
    bool ok = rc::check("parts plus unassigned stay the limit, and no start leads above it", [] {
        Team team = created(*rc::gen::inRange(1, kSize + 1));
        const auto sequence = *rc::gen::container<std::vector<Operation>>(operations());
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        for (const auto &o : sequence) {
            apply(team, o, demands_of(waiting, team.record));
            const char *fault = quota_record_fault(&team.record);
            if (fault) RC_FAIL(std::string(fault));
        }
    });
    ok &= rc::check("with the same work waiting the parts come to rest, at the targets where nothing is held back", [] {
        Team team = created(*rc::gen::inRange(1, kSize + 1));
        const auto sequence = *rc::gen::container<std::vector<Operation>>(operations());
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        for (const auto &o : sequence)
            if (o.kind != Kind::kChange) apply(team, o, {});
        const auto demands = demands_of(waiting, team.record);
        const auto used = team.used();
        const auto targets =
            quota_targets(&team.record, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
        int changes = 0;
        for (int scheduling_round = 0; scheduling_round < kRoundsToSettle; scheduling_round++)
            for (int i = 0; i < team.record.n_allotments; i++) {
                bool owned[QUOTA_SHARDS_MAX] = {};
                owned[i] = true;
                changes += quota_rebalance(&team.record, kHome, kSize, used.data(), &targets, owned);
            }
        // Each shard gives and takes a bounded number of times: nothing is passed to and fro.
        RC_ASSERT(changes <= 4 * team.record.n_allotments);
        for (int i = 0; i < team.record.n_allotments; i++)
            RC_ASSERT(targets.reservation_holder >= 0 || within(targets.of[i], team.record.allotments[i].limit) ||
                      team.record.limit.of[0] == 0);
    });
    ok &= rc::check("targets keep to the limit, and no two jobs hold half each", [] {
        Team team = created(*rc::gen::inRange(1, kSize + 1));
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        const auto demands = demands_of(waiting, team.record);
        const auto used = team.used();
        const auto targets =
            quota_targets(&team.record, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
        quota_amount sum{}, gathered{};
        for (int i = 0; i < team.record.n_allotments; i++) sum = quota_amount_sum(sum, targets.of[i]);
        if (targets.reservation_holder >= 0) {
            const auto &g = demands[targets.reservation_holder];
            const int tasks = g.whole ? g.tasks : 1;
            for (int d = 0; d < QUOTA_DIMENSIONS; d++) gathered.of[d] = g.each.of[d] * tasks;
            RC_ASSERT(within(gathered, team.record.limit));
        }
        RC_ASSERT(within(quota_amount_difference(sum, gathered), team.record.limit));
    });
    ok &= rc::check("owners that stop work at the same time leave the team its guarantee", [] {
        Team team = created(*rc::gen::inRange(1, kSize + 1));
        for (int i = 0; i < team.record.n_allotments; i++)
            team.used_by_shard[team.record.allotments[i].shard] = amount(*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 5));
        const auto used = team.used();
        quota_amount left{};
        for (int i = 0; i < team.record.n_allotments; i++)
            left = quota_amount_sum(left, quota_amount_difference(used[i], quota_over_guarantee(&team.record, i, used.data())));
        RC_ASSERT(within(quota_amount_least(team.total(), team.record.guarantee), left));
    });
    return ok ? 0 : 1;
}
