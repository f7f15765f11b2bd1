package io.figspan.bench.placing;

import io.figspan.settings.gateway.EngineProfile;
import java.util.List;
import java.util.Random;

/**
 * One kind of request.
 *
 * @param perSecond mean rate without bursts
 * @param meanPromptTokens mean of the log-normal lengths
 * @param spread standard deviation of the logarithm of the lengths
 * @param meanPieces mean of the log-normal numbers of pieces
 * @param worth what an answer on time to a request of mean size is worth
 * @param lateWorth what a late one is worth
 */
record RequestClass(
        String name,
        double perSecond,
        double meanPromptTokens,
        double spread,
        double maxPromptTokens,
        double meanPieces,
        double targetMs,
        double maxGapMs,
        double deadlineMs,
        double worth,
        double lateWorth) {
    /** Tokens of an answer weigh this much more than those of a prompt in the size of a request. */
    private static final double OUTPUT_WEIGHT = 10;

    private static final double FIXED_SHARE = 0.3;
    private static final double MAX_SIZE_FACTOR = 4;
    private static final double PIECES_SPREAD = 0.6;
    private static final double MAX_PIECES_OVER_MEAN = 2.5;

    /** The classes of the users' deployments: short prompts, long letters and whole archives. */
    static List<RequestClass> users(double rate) {
        return List.of(
                new RequestClass("short", 30 * rate, 4_960, 0.9, 23_800, 32.9, 300, 250, 10_000, 1.3, 0.33),
                new RequestClass("long", 1.53 * rate, 45_000, 0.5, 110_000, 19.7, 1_500, 600, 10_000, 4.2, 1),
                new RequestClass("longest", 0.924 * rate, 154_000, 0.55, 700_000, 16.5, 3_000, 1_000, 15_000, 21, 5.2));
    }

    /** The classes of the largest deployment. */
    static List<RequestClass> large(double rate) {
        return List.of(
                new RequestClass("short", 166 * rate, 4_960, 0.9, 23_800, 23.5, 400, 300, 10_000, 1.3, 0.33),
                new RequestClass("long", 12.2 * rate, 45_000, 0.5, 110_000, 14.1, 1_500, 800, 10_000, 3.1, 0.78),
                new RequestClass("longest", 4.04 * rate, 220_000, 0.55, 700_000, 11.8, 4_000, 1_200, 15_000, 26, 6.5));
    }

    double drawPromptTokens(Random random) {
        return Math.max(100, Math.min(maxPromptTokens, logNormal(meanPromptTokens, spread, random)));
    }

    int drawPieces(Random random) {
        double pieces = logNormal(meanPieces, PIECES_SPREAD, random);
        return (int) Math.max(2, Math.min(MAX_PIECES_OVER_MEAN * meanPieces, pieces));
    }

    private static double logNormal(double mean, double spread, Random random) {
        return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }

    /** Factor of a request's worth by its size. */
    double sizeFactor(double promptTokens, int pieces, EngineProfile profile) {
        double size = promptTokens + OUTPUT_WEIGHT * pieces * profile.decodeStepsPerPass();
        double mean = meanPromptTokens + OUTPUT_WEIGHT * meanPieces * profile.decodeStepsPerPass();
        return Math.min(MAX_SIZE_FACTOR, FIXED_SHARE + (1 - FIXED_SHARE) * size / mean);
    }

    /** Time without a piece after which a caller leaves. */
    double patienceMs() {
        return Math.max(2_000, Math.max(4 * targetMs, 8 * maxGapMs));
    }
}
