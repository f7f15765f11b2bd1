package io.figspan.bench.policy;

import com.google.common.collect.ImmutableMap;
import java.util.random.RandomGenerator;

/** The two deployments: mix of prompt lengths and reuse of prefixes. Both have 20 runners and 10 organisations. */
enum Deployment {
    /** Many short prompts; organisations share short instructions at the start of short prompts. */
    DRIFTGLASS(mix(0.42, 0.34, 0.19, 0.03, 0.019, 0.001), 0.5, 600, 0),
    /** More long prompts; dealers and teachers ask about the same catalogues. */
    PINHOLE(mix(0.26, 0.34, 0.335, 0.045, 0.0185, 0.0015), 0.6, 1_500, 7_500);

    static final int RUNNERS = 20;
    static final int HOSTS = 7;
    static final int ZONES = 3;
    /** Shares of the load of the 10 organisations: few are large. */
    static final double[] SHARES = {0.30, 0.22, 0.15, 0.08, 0.06, 0.05, 0.05, 0.04, 0.03, 0.02};
    /** Prefixes of each kind (short and catalogue) that each organisation uses. */
    static final int PREFIXES_PER_ORGANISATION = 2;

    static final int MIN_OUTPUT_TOKENS = 20;
    static final int MAX_OUTPUT_TOKENS = 180;

    private final ImmutableMap<LengthClass, Double> mix;
    private final double prefixShare;
    private final int shortPrefixTokens;
    private final int cataloguePrefixTokens;

    Deployment(
            ImmutableMap<LengthClass, Double> mix,
            double prefixShare,
            int shortPrefixTokens,
            int cataloguePrefixTokens) {
        this.mix = mix;
        this.prefixShare = prefixShare;
        this.shortPrefixTokens = shortPrefixTokens;
        this.cataloguePrefixTokens = cataloguePrefixTokens;
    }

    private static ImmutableMap<LengthClass, Double> mix(
            double k1, double k4, double k16, double k64, double k256, double m1) {
        return ImmutableMap.of(
                LengthClass.K1, k1,
                LengthClass.K4, k4,
                LengthClass.K16, k16,
                LengthClass.K64, k64,
                LengthClass.K256, k256,
                LengthClass.M1, m1);
    }

    double share(LengthClass lengthClass) {
        return mix.get(lengthClass);
    }

    LengthClass drawClass(RandomGenerator random) {
        double left = random.nextDouble();
        for (LengthClass lengthClass : LengthClass.values()) {
            left -= share(lengthClass);
            if (left < 0) {
                return lengthClass;
            }
        }
        return LengthClass.K1;
    }

    /** Length of the shared prefix that prompts of a class may have; 0 when they have none. */
    int prefixTokens(LengthClass lengthClass) {
        return switch (lengthClass) {
            case K1 -> shortPrefixTokens > 1_000 ? 0 : shortPrefixTokens;
            case K4 -> shortPrefixTokens;
            case K16, K64 -> cataloguePrefixTokens;
            case K256, M1 -> 0;
        };
    }

    double prefixShare() {
        return prefixShare;
    }

    /** Mean work of one request in seconds of one engine, when each shared prefix is cached. */
    double workSeconds() {
        double tokens = 0;
        for (LengthClass lengthClass : LengthClass.values()) {
            tokens += share(lengthClass) * (lengthClass.meanTokens() - prefixShare * prefixTokens(lengthClass));
        }
        double outputTokens = (MIN_OUTPUT_TOKENS + MAX_OUTPUT_TOKENS) / 2.0;
        return tokens / Engine.PREFILL_TOKENS_PER_SECOND + outputTokens * Engine.DECODE_NANOS / 1e9;
    }

    /** Requests per second at which the mean work of the engines reaches 1. */
    double capacityPerSecond() {
        return RUNNERS / workSeconds();
    }
}
