// Properties of allotments, checked on random sequences of operations. RapidCheck shrinks the sequences that fail. The
// seed comes from the test's environment, so that a run can be repeated.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

extern "C" {
#include "allotments.h"
}

namespace {

constexpr int kClusterShards = 5;
constexpr int kHomeShard = 1;
constexpr int kThousandthsPerUnit = 1000;
constexpr int kRoundsToSettle = 40;

enum class Kind { kAllocate, kRelease, kRebalance, kReconfigure, kPrune };

// A demand is generated as an operation too: see demands_of.
struct Operation {
    Kind kind;
    int allotment;  // any number; taken modulo the number of allotments
    int vcpus, gpus;
    int n_shards;     // the team's number of shards after kReconfigure
    unsigned owners;  // one bit for each shard: whether its owner takes part in kRebalance
};

std::ostream &operator<<(std::ostream &out, const Operation &operation) {
    return out << "{" << static_cast<int>(operation.kind) << " allotment " << operation.allotment << " "
               << operation.vcpus << "/" << operation.gpus << " shards " << operation.n_shards << " owners "
               << operation.owners << "}";
}

quota_amount amount(int vcpus, int gpus) {
    return quota_amount{{int64_t{vcpus} * kThousandthsPerUnit, int64_t{gpus} * kThousandthsPerUnit}};
}

rc::Gen<Operation> operations() {
    return rc::gen::build<Operation>(
        rc::gen::set(&Operation::kind,
                     rc::gen::element(Kind::kAllocate, Kind::kAllocate, Kind::kAllocate, Kind::kRelease,
                                      Kind::kRebalance, Kind::kRebalance, Kind::kReconfigure, Kind::kPrune)),
        rc::gen::set(&Operation::allotment, rc::gen::inRange(0, QUOTA_SHARDS_MAX)),
        rc::gen::set(&Operation::vcpus, rc::gen::inRange(0, 9)), rc::gen::set(&Operation::gpus, rc::gen::inRange(0, 5)),
        rc::gen::set(&Operation::n_shards, rc::gen::inRange(1, kClusterShards + 1)),
        rc::gen::set(&Operation::owners, rc::gen::inRange(0u, 1u << kClusterShards)));
}

struct Team {
    quota_record record;
    std::array<quota_amount, kClusterShards> used_by_shard{};  // indexed by shard, also for shards without an allotment

    std::vector<quota_amount> used() const {
        std::vector<quota_amount> out(QUOTA_SHARDS_MAX);
        for (int i = 0; i < record.n_allotments; i++) out[i] = used_by_shard[record.allotments[i].shard];
        return out;
    }
    quota_amount total() const {
        quota_amount sum{};
        for (const auto &used : used_by_shard) sum = quota_amount_sum(sum, used);
        return sum;
    }
};

bool at_most(quota_amount left, quota_amount right) { return quota_amount_equal(quota_amount_min(left, right), left); }

// Builds demands from random operations: the number of shards is the number of tasks, the kind sets the flags.
std::vector<quota_demand> demands_of(const std::vector<Operation> &operations, const quota_record &record) {
    std::vector<quota_demand> out;
    for (const auto &operation : operations) {
        if (operation.vcpus + operation.gpus == 0) continue;
        out.push_back({record.allotments[operation.allotment % record.n_allotments].shard, operation.n_shards,
                       amount(operation.vcpus, operation.gpus), operation.kind == Kind::kAllocate,
                       operation.kind != Kind::kPrune});
    }
    return out;
}

// Applies one operation and checks the conditions that must hold after it, whatever came before.
void apply(Team &team, const Operation &operation, const std::vector<quota_demand> &demands) {
    quota_record &record = team.record;
    const auto used = team.used();
    const auto targets =
        quota_targets(&record, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
    const int index = operation.allotment % record.n_allotments, shard = record.allotments[index].shard;
    const quota_amount change = amount(operation.vcpus, operation.gpus);
    if (operation.kind == Kind::kAllocate) {
        const bool closing = quota_allotment_closing(&record, kHomeShard, kClusterShards, shard);
        const auto allowance = quota_allowance(&record, index, record.limit, used.data(), &targets, closing);
        const auto used_after = quota_amount_sum(used[index], change);
        if (change.thousandths[0] + change.thousandths[1] == 0 || !at_most(used_after, allowance)) return;
        team.used_by_shard[shard] = used_after;
        // The limit may have been lowered below what is in use, but no allocation takes the team above it.
        for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
            RC_ASSERT(record.limit.thousandths[dimension] == 0 || change.thousandths[dimension] == 0 ||
                      team.total().thousandths[dimension] <= record.limit.thousandths[dimension]);
    } else if (operation.kind == Kind::kRelease) {
        for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
            team.used_by_shard[shard].thousandths[dimension] =
                std::max<int64_t>(team.used_by_shard[shard].thousandths[dimension] - change.thousandths[dimension], 0);
    } else if (operation.kind == Kind::kRebalance) {
        bool owned[QUOTA_SHARDS_MAX] = {};
        const quota_record before = record;
        for (int i = 0; i < record.n_allotments; i++)
            owned[i] = (operation.owners >> record.allotments[i].shard & 1) != 0;
        quota_rebalance(&record, kHomeShard, kClusterShards, used.data(), &targets, owned);
        for (int i = 0; i < record.n_allotments; i++) {
            const bool lowered = !at_most(before.allotments[i].limit, record.allotments[i].limit);
            RC_ASSERT(owned[i] || quota_amount_equal(before.allotments[i].limit, record.allotments[i].limit));
            RC_ASSERT(!lowered || at_most(used[i], quota_amount_max(record.allotments[i].limit, quota_amount{})) ||
                      !at_most(used[i], before.allotments[i].limit));
        }
        RC_ASSERT(record.epoch == before.epoch);
    } else if (operation.kind == Kind::kReconfigure) {
        const quota_amount limit = amount(operation.vcpus * 4, 4 + operation.gpus * 4);
        const int64_t epoch = record.epoch;
        quota_record_reconfigure(&record, kHomeShard, kClusterShards, operation.n_shards, limit,
                                 quota_amount_min(limit, amount(operation.vcpus, operation.gpus)));
        RC_ASSERT(record.epoch == epoch + 1);
    } else {
        quota_record_prune(&record, kHomeShard, kClusterShards, used.data());
    }
}

Team new_team(int n_shards) {
    return Team{quota_record_create(kHomeShard, kClusterShards, n_shards, amount(40, 16), amount(10, 4)), {}};
}

}  // namespace

int main() {
    bool ok = rc::check("allotments and unassigned add up to the limit, and no allocation exceeds the limit", [] {
        Team team = new_team(*rc::gen::inRange(1, kClusterShards + 1));
        const auto sequence = *rc::gen::container<std::vector<Operation>>(operations());
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        for (const auto &operation : sequence) {
            apply(team, operation, demands_of(waiting, team.record));
            const char *violation = quota_record_violation(&team.record);
            if (violation) RC_FAIL(std::string(violation));
        }
    });
    ok &= rc::check("with constant demand the allotments settle, at the targets unless capacity is reserved", [] {
        Team team = new_team(*rc::gen::inRange(1, kClusterShards + 1));
        const auto sequence = *rc::gen::container<std::vector<Operation>>(operations());
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        for (const auto &operation : sequence)
            if (operation.kind != Kind::kReconfigure) apply(team, operation, {});
        const auto demands = demands_of(waiting, team.record);
        const auto used = team.used();
        const auto targets =
            quota_targets(&team.record, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
        int changes = 0;
        for (int scheduling_round = 0; scheduling_round < kRoundsToSettle; scheduling_round++)
            for (int i = 0; i < team.record.n_allotments; i++) {
                bool owned[QUOTA_SHARDS_MAX] = {};
                owned[i] = true;
                changes += quota_rebalance(&team.record, kHomeShard, kClusterShards, used.data(), &targets, owned);
            }
        // The number of changes is bounded: shards do not keep moving the same amounts back and forth.
        RC_ASSERT(changes <= 4 * team.record.n_allotments);
        for (int i = 0; i < team.record.n_allotments; i++)
            RC_ASSERT(targets.reserved_demand_index >= 0 ||
                      at_most(targets.amounts[i], team.record.allotments[i].limit) ||
                      team.record.limit.thousandths[0] == 0);
    });
    ok &= rc::check("targets stay within the limit, and capacity is reserved for one job at most", [] {
        Team team = new_team(*rc::gen::inRange(1, kClusterShards + 1));
        const auto waiting = *rc::gen::container<std::vector<Operation>>(operations());
        const auto demands = demands_of(waiting, team.record);
        const auto used = team.used();
        const auto targets =
            quota_targets(&team.record, used.data(), quota_amount{}, demands.data(), static_cast<int>(demands.size()));
        quota_amount sum{}, reserved{};
        for (int i = 0; i < team.record.n_allotments; i++) sum = quota_amount_sum(sum, targets.amounts[i]);
        if (targets.reserved_demand_index >= 0) {
            const auto &reserved_demand = demands[targets.reserved_demand_index];
            const int tasks = reserved_demand.all_or_nothing ? reserved_demand.tasks : 1;
            for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
                reserved.thousandths[dimension] = reserved_demand.per_task.thousandths[dimension] * tasks;
            RC_ASSERT(at_most(reserved, team.record.limit));
        }
        RC_ASSERT(at_most(quota_amount_difference(sum, reserved), team.record.limit));
    });
    ok &= rc::check("owners that preempt at the same time leave the team its guarantee", [] {
        Team team = new_team(*rc::gen::inRange(1, kClusterShards + 1));
        for (int i = 0; i < team.record.n_allotments; i++)
            team.used_by_shard[team.record.allotments[i].shard] =
                amount(*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 5));
        const auto used = team.used();
        quota_amount remaining{};
        for (int i = 0; i < team.record.n_allotments; i++)
            remaining = quota_amount_sum(
                remaining, quota_amount_difference(used[i], quota_over_guarantee(&team.record, i, used.data())));
        RC_ASSERT(at_most(quota_amount_min(team.total(), team.record.guarantee), remaining));
    });
    return ok ? 0 : 1;
}
