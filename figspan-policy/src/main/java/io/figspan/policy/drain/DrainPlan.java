package io.figspan.policy.drain;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Times of a planned stop, between the signal and the kill at the end of the grace period. A request is served if it is
 * expected to end before the last answers are written; all others are refused as early as possible, so that their
 * callers use another host. Instants are monotonic time in nanoseconds.
 *
 * <p>The load is a release that restarts every host, with requests that take between a millisecond and twice the grace
 * period, and callers that use a cached directory response for up to 3 s.
 *
 * @param beginNanos time of the signal
 * @param graceMs time from the signal to the kill
 */
public record DrainPlan(long beginNanos, long graceMs) {
    /**
     * Period in which connections are accepted. Most callers cache a directory response for 1 s, some for 3 s; those
     * that connect in the last half second are refused before they send a request.
     */
    private static final long ACCEPT_MS = 2_500;

    /** Time after the last accepted connection in which its request may still arrive. */
    private static final long LAST_ARRIVALS_MS = 250;

    /** Time reserved for the exit of the process itself. */
    private static final long EXIT_MARGIN_MS = 400;

    /** Time for the interval of checks, for releasing memory at engines and for writing the first answers. */
    private static final long ANSWER_MARGIN_MS = 200;

    /** Time for writing the answer of one request on the smallest host, which has 0.36 of a core. */
    private static final long ANSWER_MICROS_PER_REQUEST = 4_000;

    /** Maximum time to wait for engines that don't confirm that memory was released. Their leases expire anyway. */
    private static final long RELEASE_WAIT_MS = 500;

    private static final long MIN_RETRY_AFTER_MS = 20;
    private static final long RETRY_AFTER_MS_PER_REQUEST = 2;
    private static final long MAX_RETRY_AFTER_MS = 500;

    /** All margins together take no more than this fraction of the grace period; a request may run until then. */
    private static final int MIN_GRACE_PER_MARGIN = 6;

    /** The exit takes no more than this fraction of the grace period. */
    private static final int MIN_GRACE_PER_EXIT = 12;

    /** The last arrivals are awaited for no more than this fraction of the grace period. */
    private static final int MIN_GRACE_PER_ARRIVALS = 4;

    /** Requests that may come into progress after one that is accepted; as many as there are, and these besides. */
    private static final long MORE_IN_PROGRESS = 50;

    /** A short grace period leaves at least half of it for the requests that were accepted last. */
    private static final int MIN_GRACE_PER_ACCEPT_PERIOD = 2;

    private long afterBegin(long ms) {
        return beginNanos + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private long exitMarginMs() {
        return Math.min(EXIT_MARGIN_MS, graceMs / MIN_GRACE_PER_EXIT);
    }

    private long exitMs() {
        return graceMs - exitMarginMs();
    }

    private long lastAnswersMs(long inProgress) {
        long marginMs = ANSWER_MARGIN_MS + TimeUnit.MICROSECONDS.toMillis(inProgress * ANSWER_MICROS_PER_REQUEST);
        return exitMs() - Math.min(marginMs, graceMs / MIN_GRACE_PER_MARGIN - exitMarginMs());
    }

    private long acceptMs() {
        return Math.min(ACCEPT_MS, graceMs / MIN_GRACE_PER_ACCEPT_PERIOD);
    }

    /** Whether connections are still accepted. */
    public boolean acceptsConnections(long nowNanos) {
        return nowNanos - afterBegin(acceptMs()) < 0;
    }

    /** Whether the requests of the connections that were accepted last, at this time, have had the time to arrive. */
    public boolean haveLastRequestsArrived(long stoppedAcceptingNanos, long nowNanos) {
        long arrivalsMs = Math.min(LAST_ARRIVALS_MS, graceMs / MIN_GRACE_PER_ARRIVALS);
        return nowNanos - stoppedAcceptingNanos >= TimeUnit.MILLISECONDS.toNanos(arrivalsMs);
    }

    /**
     * Whether a request that takes this long from now on ends in time, with this number of others in progress, which
     * may double until its end.
     */
    public boolean fits(long expectedMs, long inProgress, long nowNanos) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(expectedMs);
        return endNanos - afterBegin(lastAnswersMs(2 * inProgress + MORE_IN_PROGRESS)) < 0;
    }

    /** Time in milliseconds until the last answers are due, with this number of requests in progress. */
    public long leftMs(long inProgress, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(afterBegin(lastAnswersMs(inProgress)) - nowNanos);
    }

    /** Time in milliseconds since the signal. */
    public long elapsedMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - beginNanos);
    }

    /** Whether the requests in progress have to be answered now, so that all answers are written before the exit. */
    public boolean isTimeForLastAnswers(long inProgress, long nowNanos) {
        return nowNanos - afterBegin(lastAnswersMs(inProgress)) >= 0;
    }

    /** Whether an idle process need not wait any longer for the release of memory at engines. */
    public static boolean hasWaitedForReleases(long idleSinceNanos, long nowNanos) {
        return nowNanos - idleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(RELEASE_WAIT_MS);
    }

    /** Whether the process must exit now, whatever is in progress. */
    public boolean mustExit(long nowNanos) {
        return nowNanos - afterBegin(exitMs()) >= 0;
    }

    /** Retry-After of one of the callers that are refused together; random, so that they don't return together. */
    public static long retryAfterMs(long refusedTogether, RandomGenerator random) {
        long spreadMs = MIN_RETRY_AFTER_MS + refusedTogether * RETRY_AFTER_MS_PER_REQUEST;
        return MIN_RETRY_AFTER_MS + random.nextLong(Math.min(spreadMs, MAX_RETRY_AFTER_MS) + 1);
    }
}
