package io.figspan.control.ticket;

/**
 * What the settings say about a service that executes tickets.
 *
 * @param honoursIdempotencyKey the service runs a call once for all writes with the same key
 * @param notRunProofTrusted the service's statement that it ran nothing is believed
 */
public record OrderRules(boolean honoursIdempotencyKey, boolean notRunProofTrusted) {
    /** Rules of a service that the settings say nothing about. */
    public static final OrderRules STRICT = new OrderRules(false, false);
}
