package io.figspan.bench.faults;

/** Ways to execute orders: the real one and naive ones. */
enum OrderScheme {
    /** {@code TicketOwner} as it is. */
    FIGSPAN,
    /** A key chosen by the caller, checked at each host by itself. */
    KEY_PER_HOST,
    /** The host answers notRun after a short wait without voiding the ticket, and for an unreachable owner. */
    NO_VOID,
    /** A broken write is repeated although the service does not honour the key. */
    REPEATS_WRITES,
    /** The service's statement that it ran nothing is believed although the settings do not say so. */
    TRUSTS_PROOFS
}
