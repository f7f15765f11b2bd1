package io.figspan.bench.policy;

/** Classes of prompt lengths that are reported by themselves. Lengths are log-uniform from lowest to highest. */
enum LengthClass {
    K1("1k", 1_000, 2_000),
    K4("4k", 2_000, 8_000),
    K16("16k", 8_000, 32_000),
    K64("64k", 32_000, 100_000),
    K256("256k", 100_000, 330_000),
    M1("1M", 330_000, 1_000_000);

    private final String label;
    private final int lowestTokens;
    private final int highestTokens;

    LengthClass(String label, int lowestTokens, int highestTokens) {
        this.label = label;
        this.lowestTokens = lowestTokens;
        this.highestTokens = highestTokens;
    }

    String label() {
        return label;
    }

    /** Tells whether the class counts as short for slowdowns: up to 16k tokens. */
    boolean isShort() {
        return compareTo(K16) <= 0;
    }

    int lengthTokens(double quantile) {
        return (int) (lowestTokens * Math.pow((double) highestTokens / lowestTokens, quantile));
    }

    double meanTokens() {
        return (highestTokens - lowestTokens) / Math.log((double) highestTokens / lowestTokens);
    }
}
