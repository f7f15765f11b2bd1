package io.figspan.gateway.metrics;

/** What the event loop spends processor time on. */
public enum Activity {
    /** Connections, requests and answers, and all else that is not named here. */
    FORWARDING("forwarding"),
    /** Looking for places, and following what the engines do. */
    PLACEMENT("placing"),
    /** Messages of other hosts. */
    PEER_RECEIVE("hearingHosts"),
    /** Messages to other hosts. */
    PEER_SEND("tellingHosts"),
    /** Time limits, probes and other work of the clock. */
    TIMERS("timers");

    private final String wireName;

    Activity(String wireName) {
        this.wireName = wireName;
    }

    /** The name in logs and metrics. */
    public String wireName() {
        return wireName;
    }
}
