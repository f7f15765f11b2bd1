package io.figspan.bench.policy;

/**
 * One run of the driver.
 *
 * @param load offered load as a part of the capacity
 * @param lagMs age of a report when it reaches a host
 * @param seconds measured time; a tenth of it, at least 20 s, goes before as a warm-up
 * @param onlyShort long prompts are left out and the rate of the short ones is the same
 * @param greedy index of the organisation that sends ten times its share, or -1
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
        int greedy) {
    static Scenario of(Deployment deployment, Scheme scheme, double load, long seed, int seconds) {
        return new Scenario(deployment, scheme, load, 2_000, Deployment.HOSTS, seed, seconds, false, -1);
    }

    Scenario withSeed(long newSeed) {
        return new Scenario(deployment, scheme, load, lagMs, hosts, newSeed, seconds, onlyShort, greedy);
    }

    Scenario withOnlyShort() {
        return new Scenario(deployment, scheme, load, lagMs, hosts, seed, seconds, true, greedy);
    }

    Scenario withGreedy(int organisation) {
        return new Scenario(deployment, scheme, load, lagMs, hosts, seed, seconds, onlyShort, organisation);
    }

    Scenario withLagMs(long newLagMs) {
        return new Scenario(deployment, scheme, load, newLagMs, hosts, seed, seconds, onlyShort, greedy);
    }

    Scenario withHosts(int newHosts) {
        return new Scenario(deployment, scheme, load, lagMs, newHosts, seed, seconds, onlyShort, greedy);
    }

    int warmUpSeconds() {
        return Math.max(20, seconds / 10);
    }
}
