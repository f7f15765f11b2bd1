package io.figspan.control.ticket;

/**
 * Settings of a service for the execution of tickets.
 *
 * @param honoursIdempotencyKey whether the service runs a call only once when it gets the same idempotency key again
 * @param notRunProofTrusted whether a statement of the service that it did not run the call is trusted
 */
public record OrderRules(boolean honoursIdempotencyKey, boolean notRunProofTrusted) {
    /** Rules of a service without such settings. */
    public static final OrderRules STRICT = new OrderRules(false, false);
}
