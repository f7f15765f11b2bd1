package io.figspan.cluster.membership;

/**
 * Local health score after Lifeguard. The score rises when this process seems to be slow itself, and scales its own
 * timeouts; 0 is healthy.
 */
final class LocalHealth {
    /** Upper limit of the score, from the Lifeguard paper. */
    static final int MAX_SCORE = 8;

    private int score;

    void worsen() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** Multiplies a timeout by the score plus one. */
    long scaleTimeout(long nanos) {
        return nanos * (score + 1);
    }
}
