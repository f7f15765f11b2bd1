package io.figspan.cluster.coldserver;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Bound of the requests that reach a cold server in any second: its rate times {@code overrun}, plus {@code slack}. The
 * bound must hold even if no host receives messages from another one, so the parts of the rate and the bursts of all
 * hosts that use the server add up to less.
 */
public record ColdBound(double overrun, double slack) {
    public static final ColdBound DEFAULT = new ColdBound(1.5, 5);

    /** Part of the rate that is used. Requests that wait for a connection may reach the server closer together. */
    private static final double USED_RATE = 0.95;

    /** Tokens above one that a host may wait for, so that hosts with waiting requests don't all send the next one. */
    private static final double MAX_WAIT_TOKENS = 0.5;

    /** Longest interval, in seconds, at which a host tries to place its waiting requests. */
    private static final double PLACEMENT_INTERVAL_S = 0.04;

    /** Hosts in excess, for views of the fleet that differ by one host. */
    private static final int SPARE_USERS = 1;

    /** Most hosts that use one cold server: as many as today's fleets have. Bounds the messages of larger fleets. */
    private static final int MAX_USERS = 6;

    public ColdBound {
        boolean isValid = overrun >= 0 && slack >= 0 && Double.isFinite(overrun) && Double.isFinite(slack);
        if (!isValid) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "a number is negative or not finite", Location.of("cold bound"));
        }
    }

    /** Most requests in any second. */
    public double requests(double requestsPerSecond) {
        return requestsPerSecond * overrun + slack;
    }

    /** Rate of all hosts together. */
    double usedRate(double requestsPerSecond) {
        return USED_RATE * requestsPerSecond;
    }

    /** Requests that one host may send at once after a pause. */
    double burstTokens(double requestsPerSecond) {
        double wanted = 1 + MAX_WAIT_TOKENS + PLACEMENT_INTERVAL_S * requestsPerSecond;
        return Math.max(1, Math.min(wanted, burstRoom(requestsPerSecond)));
    }

    /** Tokens above one that a host may wait for. */
    double waitTokens(double requestsPerSecond) {
        return Math.min(MAX_WAIT_TOKENS, burstTokens(requestsPerSecond) - 1);
    }

    private double burstRoom(double requestsPerSecond) {
        return requests(requestsPerSecond) - usedRate(requestsPerSecond);
    }

    /** Most hosts that may use a server, so that their bursts fit between the used rate and the bound. */
    int maxUsers(double requestsPerSecond) {
        double bursts = Math.floor(burstRoom(requestsPerSecond) / burstTokens(requestsPerSecond));
        return (int) Math.max(1, Math.min(MAX_USERS, bursts - SPARE_USERS));
    }
}
