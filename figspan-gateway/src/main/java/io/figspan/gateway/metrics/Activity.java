package io.figspan.gateway.metrics;

/** Activities of the event loop, for the accounting of its processor time. */
public enum Activity {
    /** Connections, requests and responses, and everything that is not listed here. */
    FORWARDING("forwarding"),
    /** Choosing backend servers, and tracking the state of the engines. */
    PLACEMENT("placing"),
    /** Processing messages from other hosts. */
    PEER_RECEIVE("hearingHosts"),
    /** Sending messages to other hosts. */
    PEER_SEND("tellingHosts"),
    /** Time limits, probes and other periodic work. */
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
