package io.figspan.bench.policy;

import io.figspan.policy.dispatch.DispatchSettings;

/**
 * One run of the driver.
 *
 * @param load offered load as a part of the capacity
 * @param lagMs age of a report when it reaches a host
 * @param seconds measured time; a warm-up goes before
 * @param onlyShort long prompts are left out and the rate of the short ones is the same
 * @param greedy index of the organisation that sends ten times its share, or -1
 * @param settings parameters of the current policy
 */
record Scenario(
        Deployment deployment,
        Scheme scheme,
        double load,
        long lagMs,
        int hosts,
        long seed,
        int seconds,
        boolean onlyShort,
        int greedy,
        DispatchSettings settings) {
    /** Time before the measured time, in which caches, queues and the buckets of the organisations fill. */
    static final int WARM_UP_SECONDS = 120;

    static Scenario of(Deployment deployment, Scheme scheme, double load, long seed, int seconds) {
        return new Scenario(
                deployment, scheme, load, 2_000, Deployment.HOSTS, seed, seconds, false, -1, DispatchSettings.DEFAULT);
    }

    Scenario withSeed(long newSeed) {
        return new Scenario(deployment, scheme, load, lagMs, hosts, newSeed, seconds, onlyShort, greedy, settings);
    }

    Scenario withOnlyShort() {
        return new Scenario(deployment, scheme, load, lagMs, hosts, seed, seconds, true, greedy, settings);
    }

    Scenario withGreedy(int organisation) {
        return new Scenario(deployment, scheme, load, lagMs, hosts, seed, seconds, onlyShort, organisation, settings);
    }

    Scenario withLagMs(long newLagMs) {
        return new Scenario(deployment, scheme, load, newLagMs, hosts, seed, seconds, onlyShort, greedy, settings);
    }

    Scenario withHosts(int newHosts) {
        return new Scenario(deployment, scheme, load, lagMs, newHosts, seed, seconds, onlyShort, greedy, settings);
    }

    Scenario withSettings(DispatchSettings newSettings) {
        return new Scenario(deployment, scheme, load, lagMs, hosts, seed, seconds, onlyShort, greedy, newSettings);
    }
}
